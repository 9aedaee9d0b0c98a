package org.tarragonring.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.Hashes;
import org.tarragonring.policy.replica.ReplicaState;

/**
 * Chooses among replicas that can run a call: by affinity to the prompt's shared parts while the load allows it, else by
 * the least load.
 *
 * @since 0.2.0
 */
public final class ReplicaPicker {

    /** How many more calls in flight than the least loaded replica the preferred one may have. */
    private static final int AFFINITY_SLACK_CALLS = 3;

    private final String ownDomain;
    private final DoubleSupplier random;

    /**
     * Creates a picker.
     *
     * @param ownDomain the failure domain of this entry, which is preferred among equals; not null
     * @param random gives numbers from 0 to 1 that break ties, not null
     */
    public ReplicaPicker(String ownDomain, DoubleSupplier random) {
        this.ownDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Chooses a replica.
     *
     * @param candidates the replicas that can run the call, not null
     * @param affinityKey names the shared part of the prompt, empty if there is none
     * @return a replica, or empty if there is no candidate
     */
    public Optional<ReplicaState> pick(List<ReplicaState> candidates, String affinityKey) {
        Optional<ReplicaState> leastLoaded = candidates.stream().min(Comparator.comparingDouble(this::load));
        if (leastLoaded.isEmpty() || affinityKey.isEmpty()) {
            return leastLoaded;
        }
        int bound = leastLoaded.get().inFlight() + AFFINITY_SLACK_CALLS;
        long[] names =
                candidates.stream().mapToLong(c -> Hashes.of(c.id().value())).toArray();
        ReplicaState preferred = candidates.get(Rendezvous.best(affinityKey, names));
        return preferred.inFlight() <= bound ? Optional.of(preferred) : leastLoaded;
    }

    private double load(ReplicaState replica) {
        double distance = replica.listed().failureDomain().equals(ownDomain) ? 0 : 0.5;
        return replica.inFlight() + distance + random.getAsDouble() / 4;
    }
}
