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

/**
 * Remembers the upstreams whose record and engine agreed at the last reconciliation, so that their records are reread
 * only after the maximum age or a change of the engine's status.
 */
final class ConsistentUpstreamCache {

    private static final Duration MAX_AGE = Duration.ofSeconds(20);

    private final MonotonicClock clock;
    private final Map<UpstreamId, CachedStatus> upstreams = new ConcurrentHashMap<>();

    ConsistentUpstreamCache(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Checks whether an upstream was recently found consistent and its engine's status has not changed since. */
    boolean isStillConsistent(UpstreamId upstream, EngineStatus status) {
        CachedStatus cached = upstreams.get(upstream);
        return cached != null
                && clock.millis() - cached.checkedAtMillis < MAX_AGE.toMillis()
                && cached.statusSummary.equals(summarize(status));
    }

    /** Remembers the upstream if all its reservations are loaded and match the engine's status, else forgets it. */
    void update(UpstreamId upstream, UpstreamRecord record, EngineStatus status) {
        boolean isConsistent =
                record.reservations().size() == status.residents().size()
                        && record.reservations().stream()
                                .allMatch(r -> r.state() == ReservationState.LOADED
                                        && status.find(r.slot())
                                                .map(EngineStatus.Resident::loaded)
                                                .orElse(false));
        if (isConsistent) {
            upstreams.put(upstream, new CachedStatus(clock.millis(), summarize(status)));
        } else {
            upstreams.remove(upstream);
        }
    }

    private static List<String> summarize(EngineStatus status) {
        return Stream.concat(
                        Stream.of(status.incarnation()),
                        status.residents().stream()
                                .map(r -> r.slot() + "/" + r.loaded())
                                .sorted())
                .toList();
    }

    private record CachedStatus(long checkedAtMillis, List<String> statusSummary) {}
}
