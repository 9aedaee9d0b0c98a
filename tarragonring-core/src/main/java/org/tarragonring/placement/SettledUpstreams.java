package org.tarragonring.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.EngineStatus;

/** Remembers which upstreams had nothing to settle, so that their records are read again only now and then. */
final class SettledUpstreams {

    private static final Duration LONGEST_TRUST = Duration.ofSeconds(20);

    private final MonotonicClock clock;
    private final Map<UpstreamId, Settled> upstreams = new ConcurrentHashMap<>();

    SettledUpstreams(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Checks if an engine reports just what it did when it was found settled a while ago. */
    boolean isStillSettled(UpstreamId upstream, EngineStatus status) {
        Settled known = upstreams.get(upstream);
        return known != null
                && clock.millis() - known.atMillis < LONGEST_TRUST.toMillis()
                && known.report.equals(report(status));
    }

    /** Notes whether every reservation is loaded and the engine reports exactly those. */
    void judge(UpstreamId upstream, UpstreamRecord record, EngineStatus status) {
        boolean isSettled = record.reservations().size() == status.residents().size()
                && record.reservations().stream()
                        .allMatch(r -> r.state() == ReservationState.LOADED
                                && status.find(r.slot())
                                        .map(EngineStatus.Resident::loaded)
                                        .orElse(false));
        if (isSettled) {
            upstreams.put(upstream, new Settled(clock.millis(), report(status)));
        } else {
            upstreams.remove(upstream);
        }
    }

    private static List<String> report(EngineStatus status) {
        return Stream.concat(
                        Stream.of(status.incarnation()),
                        status.residents().stream()
                                .map(r -> r.slot() + "/" + r.loaded())
                                .sorted())
                .toList();
    }

    private record Settled(long atMillis, List<String> report) {}
}
