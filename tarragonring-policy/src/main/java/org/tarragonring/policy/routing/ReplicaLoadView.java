package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/**
 * What an entry knows of the load and speed of replicas over all entries, from the digests of the planning entry.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaLoadView {

    /** The time after which the last digest is ignored: the planning entry may be lost or the replicas no longer differ. */
    private static final Duration MAX_DIGEST_AGE = Duration.ofMillis(1_500);

    /**
     * The time after which the load of a replica that no digest has named is unknown. Digests name replicas in turns, those
     * with changed load first; 2,300 replicas take 16 s.
     */
    private static final Duration MAX_LOAD_AGE = Duration.ofSeconds(20);

    /** The time for which a speed is kept as a guess, for the next planning entry. */
    private static final Duration MAX_SPEED_AGE = Duration.ofSeconds(30);

    private static final double PERCENT = 100;

    private final MonotonicClock clock;
    private final Map<Integer, Load> loads = new HashMap<>();
    private Map<UpstreamId, Integer> reportedOwnCalls = Map.of();
    private Map<UpstreamId, Integer> ownCallsInDigest = Map.of();
    private long digestMillis;
    private boolean anyDigest;

    /**
     * Creates a view that knows of no digest.
     *
     * @param clock the monotonic clock, not null
     */
    public ReplicaLoadView(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns the hash by which digests name a replica.
     *
     * @param replica the replica, not null
     * @return the hash
     */
    public static int hash(UpstreamId replica) {
        return (int) Hashes.of(replica.value());
    }

    /**
     * Records which of its own calls this entry has reported to the planning entry.
     *
     * @param ownCalls the calls in flight by replica, not null
     */
    public void onReported(Map<UpstreamId, Integer> ownCalls) {
        reportedOwnCalls = Map.copyOf(ownCalls);
    }

    /** Starts a new digest, which {@link #put} fills. */
    public void onDigest() {
        anyDigest = true;
        digestMillis = clock.millis();
        ownCallsInDigest = reportedOwnCalls;
        loads.values().removeIf(load -> clock.millis() - load.receivedMillis > MAX_SPEED_AGE.toMillis());
    }

    /**
     * Records the load of a replica as a digest tells it.
     *
     * @param replicaHash the hash of the replica's id
     * @param inFlight the number of calls of all entries
     * @param speedPercent the speed in percent of the usual one; 0 if the replicas of its service do not differ
     */
    public void put(int replicaHash, int inFlight, int speedPercent) {
        loads.put(replicaHash, new Load(clock.millis(), inFlight, speedPercent / PERCENT));
    }

    /**
     * Checks whether a replica belongs to a service whose replicas differ.
     *
     * @param replica the replica, not null
     * @return true if a recent digest tells its speed
     */
    public boolean differs(UpstreamId replica) {
        Load load = current(replica);
        return load != null && load.speed > 0;
    }

    /**
     * Returns the speed of a replica.
     *
     * @param replica the replica, not null
     * @return the speed relative to the usual one; 1 if it is not known or if the replicas do not differ
     */
    public double speedOf(UpstreamId replica) {
        Load load = current(replica);
        return load == null || load.speed <= 0 ? 1 : load.speed;
    }

    /**
     * Returns the last known speed of a replica, however old the last digest is.
     *
     * @param replica the replica, not null
     * @return the speed, empty if no digest of the last half minute told it
     */
    public OptionalDouble lastSpeed(UpstreamId replica) {
        Load load = loads.get(hash(replica));
        return load == null || load.speed <= 0 ? OptionalDouble.empty() : OptionalDouble.of(load.speed);
    }

    /**
     * Returns the number of calls of all entries that a replica runs.
     *
     * @param replica the replica, not null
     * @param ownCalls the number of calls of this entry that it runs now
     * @return the number that the digest tells, without the calls of this entry that it contains, plus those of now; those
     *     of now alone if no recent digest tells it
     */
    public int load(UpstreamId replica, int ownCalls) {
        Load load = current(replica);
        int others = load == null ? 0 : Math.max(0, load.inFlight - ownCallsInDigest.getOrDefault(replica, 0));
        return others + ownCalls;
    }

    /**
     * Returns the age of the last digest.
     *
     * @return milliseconds, -1 if there was none
     */
    public long digestAgeMillis() {
        return anyDigest ? clock.millis() - digestMillis : -1;
    }

    private Load current(UpstreamId replica) {
        if (!anyDigest || digestAgeMillis() > MAX_DIGEST_AGE.toMillis()) {
            return null;
        }
        Load load = loads.get(hash(replica));
        return load == null || clock.millis() - load.receivedMillis > MAX_LOAD_AGE.toMillis() ? null : load;
    }

    private record Load(long receivedMillis, int inFlight, double speed) {}
}
