package org.tarragonring.policy.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * Estimates what it costs callers when a replica gives up a model, as milliseconds of waiting.
 *
 * <p>An unload waits for the calls that the replica runs. A model that is gone from its last replica makes the calls
 * that ask for it meanwhile miss their objective.
 */
final class EvictionPrices {

    /** The price of a model that calls wait for: above that of any load, so that it is never chosen. */
    static final double NEVER = 1_000_000;

    /** Calls at one replica above which a model gets another one. */
    private static final double CALLS_PER_REPLICA = 7;

    /** The rate above which a model has two replicas, so that losing one costs no call its objective. */
    private static final double RATE_FOR_TWO = 1.5;

    /** How long a model is away that is called again right after its eviction: an unload that waits for runs, a load. */
    private static final double ABSENCE_SECONDS = 3;

    /** What a call that misses its objective counts, as waiting. */
    private static final double MISSED_CALL_MILLIS = 3_000;

    /** What a millisecond counts in which a replica waits for runs to end: it can load nothing else meanwhile. */
    private static final double BLOCKED_WEIGHT = 1.5;

    /** What losing one of several replicas costs for each call a second, as waiting. */
    private static final double CROWDING_MILLIS = 400;

    private final Map<ModelName, ModelNeed> needs;
    private final Map<ModelName, Integer> copies = new HashMap<>();

    EvictionPrices(Iterable<ReplicaView> replicas, Map<ModelName, ModelNeed> needs) {
        this.needs = Objects.requireNonNull(needs, "needs");
        for (ReplicaView replica : replicas) {
            replica.state().residents().keySet().forEach(model -> copies.merge(model, 1, Integer::sum));
        }
    }

    /** Returns how many replicas can run a model. */
    int copies(ModelName model) {
        return copies.getOrDefault(model, 0);
    }

    /** Returns what evictions may cost at most for the calls that wait for a model. */
    double worthOfWaiting(ModelName model) {
        return need(model).waiting() * ABSENCE_SECONDS * MISSED_CALL_MILLIS;
    }

    /** Counts a model as gone from one replica. */
    void remove(ModelName model) {
        copies.computeIfPresent(model, (key, count) -> count <= 1 ? null : count - 1);
    }

    /** Returns how much all entries need a model. */
    ModelNeed need(ModelName model) {
        return needs.getOrDefault(model, ModelNeed.none(model));
    }

    /** Returns how many replicas a model should have. */
    int wantedCopies(ModelName model) {
        ModelNeed need = need(model);
        int byCalls = (int) Math.ceil((need.running() + need.waiting()) / CALLS_PER_REPLICA);
        int byRate = need.callsPerSecond() >= RATE_FOR_TWO ? 2 : 0;
        return Math.max(byCalls, byRate);
    }

    /** Returns what giving up a model on a replica costs. */
    double priceOf(ReplicaView replica, ModelName model) {
        ModelNeed need = need(model);
        double price = BLOCKED_WEIGHT * replica.residualMillis(model);
        int left = copies(model) - 1;
        if (left <= 0) {
            if (need.waiting() > 0) {
                return NEVER;
            }
            return price + need.callsPerSecond() * ABSENCE_SECONDS * MISSED_CALL_MILLIS;
        }
        double crowding = left < wantedCopies(model) ? 2 : 1;
        return price + crowding * need.callsPerSecond() * CROWDING_MILLIS / left;
    }
}
