package org.tarragonring.gateway.streams;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Remembers which version of the replicas' software began each resumable stream. Callers take a stream up again at any
 * entry, often as the one that began it has ended; two other entries are therefore told of each stream, and an entry that
 * does not know a stream asks all others.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class StreamVersions {

    /** Longer than callers take up a stream again. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** The time in which streams that begin are collected for one message. */
    static final Duration REPORT_DELAY = Duration.ofMillis(10);

    /** A question is asked once more after this time, as datagrams may be lost. */
    static final Duration REPEAT_DELAY = Duration.ofMillis(60);

    /** How long the responses to a question are awaited. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(200);

    private static final int BACKUPS = 2;
    private static final int MAX_STREAMS = 20_000;

    /** Keeps the size of a report well below that of a datagram. */
    private static final int MAX_REPORT_BYTES = 5_000;

    /** The bytes of a stream in a report besides its id and version. */
    private static final int STREAM_OVERHEAD_BYTES = 8;

    private final EntryId self;
    private final String failureDomain;
    private final Mesh mesh;
    private final MonotonicClock clock;
    private final Timers timers;

    /** The oldest first. */
    private final Map<StreamId, Stream> streams = new LinkedHashMap<>();

    private final Map<StreamId, SoftwareVersion> unreported = new HashMap<>();
    private final Map<StreamId, CompletableFuture<Optional<SoftwareVersion>>> asked = new HashMap<>();

    /**
     * Creates an instance that is not started.
     *
     * @param self the id of this entry, not null
     * @param failureDomain the failure domain of this entry, not null
     * @param mesh sends messages to the other entries, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules messages and timeouts, not null
     */
    public StreamVersions(EntryId self, String failureDomain, Mesh mesh, MonotonicClock clock, Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Starts to handle the messages of other entries. */
    public void start() {
        mesh.on(PeerMessage.StreamReport.class, this::onReport);
    }

    /**
     * Remembers a stream that has begun, and tells other entries of it.
     *
     * @param streamId the id of the call that gets the first event, not null
     * @param version the version of the software that began the stream, not null
     */
    public void onBegun(StreamId streamId, SoftwareVersion version) {
        put(streamId, version);
        if (unreported.isEmpty()) {
            timers.schedule(REPORT_DELAY, this::report);
        }
        unreported.put(streamId, version);
    }

    /**
     * Finds the version of the software that began a stream.
     *
     * @param streamId the id of the call that got the first event, not null
     * @return the version, empty if neither this nor another entry that responds in time knows it; never fails
     */
    public CompletableFuture<Optional<SoftwareVersion>> find(StreamId streamId) {
        removeExpired();
        Stream known = streams.get(streamId);
        if (known != null) {
            return CompletableFuture.completedFuture(Optional.of(known.version));
        }
        CompletableFuture<Optional<SoftwareVersion>> pending = asked.get(streamId);
        if (pending != null) {
            return pending;
        }
        if (otherEntries().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return ask(streamId);
    }

    private CompletableFuture<Optional<SoftwareVersion>> ask(StreamId streamId) {
        CompletableFuture<Optional<SoftwareVersion>> response = new CompletableFuture<>();
        asked.put(streamId, response);
        PeerMessage question = new PeerMessage.StreamReport(Map.of(), List.of(streamId));
        mesh.broadcast(question);
        Timers.Task repetition = timers.schedule(REPEAT_DELAY, () -> mesh.broadcast(question));
        Timers.Task timeout = timers.schedule(RESPONSE_TIMEOUT, () -> response.complete(Optional.empty()));
        response.thenRun(() -> {
            repetition.cancel();
            timeout.cancel();
            asked.remove(streamId);
        });
        return response;
    }

    private void onReport(EntryId from, PeerMessage.StreamReport report) {
        report.begun().forEach((streamId, version) -> {
            put(streamId, version);
            CompletableFuture<Optional<SoftwareVersion>> pending = asked.get(streamId);
            if (pending != null) {
                pending.complete(Optional.of(version));
            }
        });
        Map<StreamId, SoftwareVersion> known = new HashMap<>();
        for (StreamId streamId : report.asked()) {
            Stream stream = streams.get(streamId);
            if (stream != null) {
                known.put(streamId, stream.version);
            }
        }
        if (!known.isEmpty()) {
            mesh.send(from, new PeerMessage.StreamReport(known, List.of()));
        }
    }

    private void report() {
        List<EntryId> backups = backups();
        Map<StreamId, SoftwareVersion> part = new HashMap<>();
        int partBytes = 0;
        for (Map.Entry<StreamId, SoftwareVersion> begun : unreported.entrySet()) {
            int bytes = byteCount(begun.getKey().value())
                    + byteCount(begun.getValue().value())
                    + STREAM_OVERHEAD_BYTES;
            if (!part.isEmpty() && partBytes + bytes > MAX_REPORT_BYTES) {
                send(part, backups);
                part = new HashMap<>();
                partBytes = 0;
            }
            part.put(begun.getKey(), begun.getValue());
            partBytes += bytes;
        }
        unreported.clear();
        send(part, backups);
    }

    private static int byteCount(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    private void send(Map<StreamId, SoftwareVersion> begun, List<EntryId> receivers) {
        PeerMessage message = new PeerMessage.StreamReport(begun, List.of());
        receivers.forEach(receiver -> mesh.send(receiver, message));
    }

    /** Returns the entries that are told of this entry's streams, if possible of other failure domains. */
    private List<EntryId> backups() {
        List<Member> ranked = Rendezvous.rank(
                self.value(), otherEntries(), member -> member.id().value());
        List<Member> preferred = new ArrayList<>(ranked);
        preferred.sort((a, b) -> Boolean.compare(isInOwnDomain(a), isInOwnDomain(b)));
        return preferred.stream().limit(BACKUPS).map(Member::id).toList();
    }

    private boolean isInOwnDomain(Member member) {
        return member.failureDomain().equals(failureDomain);
    }

    private List<Member> otherEntries() {
        return mesh.alive().stream().filter(member -> !member.id().equals(self)).toList();
    }

    private void put(StreamId streamId, SoftwareVersion version) {
        removeExpired();
        streams.remove(streamId);
        streams.put(streamId, new Stream(version, clock.millis()));
        if (streams.size() > MAX_STREAMS) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    private void removeExpired() {
        long oldestMillis = clock.millis() - RETENTION.toMillis();
        var iterator = streams.values().iterator();
        while (iterator.hasNext() && iterator.next().timeMillis < oldestMillis) {
            iterator.remove();
        }
    }

    private record Stream(SoftwareVersion version, long timeMillis) {}
}
