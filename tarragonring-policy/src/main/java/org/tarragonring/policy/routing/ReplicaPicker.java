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
 * Selects the replica for a call. Calls with the same affinity key go to the same replica, chosen by rendezvous
 * hashing, unless it has considerably more calls in flight than the least loaded one; other calls go to the least
 * loaded replica.
 *
 * @since 0.2.0
 */
public final class ReplicaPicker {

    /** The maximum number of calls in flight that the preferred replica may have above the least loaded one. */
    private static final int MAX_AFFINITY_EXCESS_CALLS = 3;

    private final String ownDomain;
    private final DoubleSupplier random;

    /**
     * Creates a picker.
     *
     * @param ownDomain the failure domain of this entry, preferred among equally loaded replicas; not null
     * @param random supplies random numbers from 0 inclusive to 1 exclusive, which break ties; not null
     */
    public ReplicaPicker(String ownDomain, DoubleSupplier random) {
        this.ownDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Selects a replica for a call.
     *
     * @param candidates the replicas that can run the call, not null
     * @param affinityKey the key of the prompt part that the call shares with others, empty if there is none; not null
     * @return the replica, or empty if there are no candidates
     */
    public Optional<ReplicaState> pick(List<ReplicaState> candidates, String affinityKey) {
        Optional<ReplicaState> leastLoaded = candidates.stream().min(Comparator.comparingDouble(this::loadScore));
        if (leastLoaded.isEmpty() || affinityKey.isEmpty()) {
            return leastLoaded;
        }
        int maxInFlight = leastLoaded.get().inFlight() + MAX_AFFINITY_EXCESS_CALLS;
        long[] idHashes =
                candidates.stream().mapToLong(c -> Hashes.of(c.id().value())).toArray();
        ReplicaState preferred = candidates.get(Rendezvous.best(affinityKey, idHashes));
        return preferred.inFlight() <= maxInFlight ? Optional.of(preferred) : leastLoaded;
    }

    /** Returns the calls in flight, plus 0.5 for another failure domain, plus under 0.25 at random to break ties. */
    private double loadScore(ReplicaState replica) {
        double domainPenalty = replica.listed().failureDomain().equals(ownDomain) ? 0 : 0.5;
        return replica.inFlight() + domainPenalty + random.getAsDouble() / 4;
    }
}
