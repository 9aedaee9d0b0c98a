package org.tarragonring.gateway.catalog;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ReplicaAvailability;
import org.tarragonring.time.MonotonicClock;

/**
 * Remembers what replicas that are not listed have told of their availability. A replica may be listed again while the same
 * process runs: the store may come back from an older copy, or the replica may be listed later than it has told another
 * entry that it is about to shut down.
 *
 * <p>Not thread-safe.
 */
final class DepartedReplicas {

    /** The replicas that are remembered; the one that was removed first is forgotten first. */
    static final int MAX_REPLICAS = 4_096;

    private final MonotonicClock clock;

    /** The one that was removed first is first. */
    private final Map<UpstreamId, Departed> departed = new LinkedHashMap<>();

    DepartedReplicas(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Remembers a replica whose registration was removed. */
    void add(UpstreamId id, ReplicaAvailability availability) {
        departed.remove(id);
        departed.put(id, new Departed(availability, clock.millis()));
        if (departed.size() > MAX_REPLICAS) {
            departed.remove(departed.keySet().iterator().next());
        }
    }

    /** Returns what is known of a replica that is not listed. */
    Optional<Departed> find(UpstreamId id) {
        return Optional.ofNullable(departed.get(id));
    }

    /** Forgets a replica, as it is listed again, and returns what was known of it. */
    Optional<Departed> remove(UpstreamId id) {
        return Optional.ofNullable(departed.remove(id));
    }

    /**
     * Records that a replica that is not listed is about to shut down.
     *
     * @return true if this was not known
     */
    boolean markLeaving(UpstreamId id, long processStartMillis) {
        Optional<Departed> known = find(id);
        if (known.isEmpty()) {
            add(id, new ReplicaAvailability(clock));
        }
        return departed.get(id).availability.onLeaving(processStartMillis);
    }

    int size() {
        return departed.size();
    }

    /**
     * A replica that is not listed.
     *
     * @param availability what it has told of its availability
     * @param removedMillis when its registration was removed, in milliseconds of the monotonic clock
     */
    record Departed(ReplicaAvailability availability, long removedMillis) {}
}
