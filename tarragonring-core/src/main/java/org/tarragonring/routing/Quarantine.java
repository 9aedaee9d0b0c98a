package org.tarragonring.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.log.LogEvent;
import org.tarragonring.time.MonotonicClock;

/**
 * Records which requests were in flight on replicas that failed, and quarantines a request after two different replicas
 * failed while they ran it. A replica counts as a different one after its engine was restarted.
 *
 * <p>A request is identified by its fingerprint, the hash of its route and body. Entries report failures to each other.
 *
 * @since 0.1.0
 */
public final class Quarantine {

    /** The number of failed replicas from which on a request is quarantined. */
    public static final int FAILED_REPLICAS_THRESHOLD = 2;

    private static final int MAX_FINGERPRINTS = 10_000;
    private static final String SEPARATOR = "@";

    private final MonotonicClock clock;
    private final Duration retention;
    private final Map<String, SuspectRequest> suspects = new ConcurrentHashMap<>();

    /**
     * Creates an empty quarantine.
     *
     * @param clock the monotonic clock, not null
     * @param retention the time for which a request is kept after the latest report of a failure, not null
     */
    public Quarantine(MonotonicClock clock, Duration retention) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retention = Objects.requireNonNull(retention, "retention");
    }

    /**
     * Returns the number of replicas that failed while they ran a request.
     *
     * @param fingerprint the request's fingerprint, not null
     * @return the number of different replicas, 0 if none failed or the record has expired
     */
    public int failedReplicaCount(String fingerprint) {
        SuspectRequest suspect = suspects.get(fingerprint);
        return suspect == null || clock.millis() >= suspect.expiresAtMillis ? 0 : suspect.replicas.size();
    }

    /**
     * Checks whether a request is quarantined and must be refused.
     *
     * @param fingerprint the request's fingerprint, not null
     * @return true if at least {@value #FAILED_REPLICAS_THRESHOLD} replicas failed while they ran it
     */
    public boolean isQuarantined(String fingerprint) {
        return failedReplicaCount(fingerprint) >= FAILED_REPLICAS_THRESHOLD;
    }

    /**
     * Records that a replica failed while it ran a request.
     *
     * @param fingerprint the request's fingerprint, not null
     * @param replica the replica's name, not null
     * @return the subject of the notice to other entries, or an empty string if the failure was already recorded
     */
    public String recordFailure(String fingerprint, String replica) {
        return add(fingerprint, replica) ? fingerprint + SEPARATOR + replica : "";
    }

    /**
     * Records a failure that another entry reported. Ignores a malformed subject.
     *
     * @param subject the subject of the notice, as returned by {@link #recordFailure}; not null
     * @return true if the failure was not recorded before
     */
    public boolean recordReportedFailure(String subject) {
        String[] parts = subject.split(SEPARATOR, 2);
        return parts.length == 2 && add(parts[0], parts[1]);
    }

    private boolean add(String fingerprint, String replica) {
        prune();
        long expiresAtMillis = clock.millis() + retention.toMillis();
        boolean[] added = {false};
        SuspectRequest current = suspects.compute(fingerprint, (key, previous) -> {
            Set<String> replicas = previous == null ? new HashSet<>() : new HashSet<>(previous.replicas);
            added[0] = replicas.add(replica);
            return new SuspectRequest(replicas, expiresAtMillis);
        });
        if (added[0] && current.replicas.size() == FAILED_REPLICAS_THRESHOLD) {
            LogEvent.REQUEST_QUARANTINED.log(fingerprint, current.replicas.size());
        }
        return added[0];
    }

    private void prune() {
        if (suspects.size() < MAX_FINGERPRINTS) {
            return;
        }
        long nowMillis = clock.millis();
        suspects.values().removeIf(s -> nowMillis >= s.expiresAtMillis);
        List<String> keys = new ArrayList<>(suspects.keySet());
        for (int i = 0; i < keys.size() - MAX_FINGERPRINTS / 2; i++) {
            suspects.remove(keys.get(i));
        }
    }

    private record SuspectRequest(Set<String> replicas, long expiresAtMillis) {}
}
