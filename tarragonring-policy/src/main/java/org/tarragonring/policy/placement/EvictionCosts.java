package org.tarragonring.policy.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * Estimates the cost of evicting a model from a replica, expressed as milliseconds of caller waiting time.
 *
 * <p>An unload waits for the calls that are running on the replica. Once a model is evicted from its last replica,
 * calls that request it before it is loaded again miss their latency objective.
 */
final class EvictionCosts {

    /** The cost of evicting a model that has waiting calls; higher than any load is worth, so it is never chosen. */
    static final double PROHIBITIVE_COST_MILLIS = 1_000_000;

    /** The number of calls on one replica above which a model gets another replica. */
    private static final double MAX_CALLS_PER_REPLICA = 7;

    /** The call rate from which a model gets two replicas, so that calls keep their objective if one is lost. */
    private static final double TWO_REPLICAS_CALLS_PER_SECOND = 1.5;

    /** The time a model is missing if it is called right after its eviction: a delayed unload plus a load. */
    private static final double ABSENCE_SECONDS = 3;

    /** The cost of one call that misses its latency objective. */
    private static final double MISSED_OBJECTIVE_COST_MILLIS = 3_000;

    /** The cost of each millisecond an unload waits for running calls; the replica cannot load anything meanwhile. */
    private static final double BLOCKED_REPLICA_WEIGHT = 1.5;

    /** The cost, per call per second, of losing one of several replicas of a model. */
    private static final double CONTENTION_COST_MILLIS = 400;

    private final Map<ModelName, AggregateDemand> demands;
    private final Map<ModelName, Integer> residentReplicas = new HashMap<>();

    EvictionCosts(Iterable<ReplicaSnapshot> replicas, Map<ModelName, AggregateDemand> demands) {
        this.demands = Objects.requireNonNull(demands, "demands");
        for (ReplicaSnapshot replica : replicas) {
            replica.state().residents().keySet().forEach(model -> residentReplicas.merge(model, 1, Integer::sum));
        }
    }

    /** Returns the number of replicas on which a model is resident. */
    int residentReplicas(ModelName model) {
        return residentReplicas.getOrDefault(model, 0);
    }

    /** Returns the highest eviction cost in milliseconds that the calls waiting for a model justify. */
    double maxCostForWaitingCalls(ModelName model) {
        return demandFor(model).waitingCalls() * ABSENCE_SECONDS * MISSED_OBJECTIVE_COST_MILLIS;
    }

    /** Records that a model is evicted from one replica. */
    void recordEviction(ModelName model) {
        residentReplicas.computeIfPresent(model, (key, count) -> count <= 1 ? null : count - 1);
    }

    /** Returns the demand of all entries for a model. */
    AggregateDemand demandFor(ModelName model) {
        return demands.getOrDefault(model, AggregateDemand.none(model));
    }

    /** Returns the number of replicas on which a model should be resident at its current demand. */
    int targetReplicas(ModelName model) {
        AggregateDemand demand = demandFor(model);
        int byCalls = (int) Math.ceil((demand.runningCalls() + demand.waitingCalls()) / MAX_CALLS_PER_REPLICA);
        int byRate = demand.callsPerSecond() >= TWO_REPLICAS_CALLS_PER_SECOND ? 2 : 0;
        return Math.max(byCalls, byRate);
    }

    /** Returns the cost in milliseconds of evicting a model from a replica. */
    double costMillis(ReplicaSnapshot replica, ModelName model) {
        AggregateDemand demand = demandFor(model);
        double costMillis = BLOCKED_REPLICA_WEIGHT * replica.unloadWaitMillis(model);
        int remainingReplicas = residentReplicas(model) - 1;
        if (remainingReplicas <= 0) {
            if (demand.waitingCalls() > 0) {
                return PROHIBITIVE_COST_MILLIS;
            }
            return costMillis + demand.callsPerSecond() * ABSENCE_SECONDS * MISSED_OBJECTIVE_COST_MILLIS;
        }
        double contentionFactor = remainingReplicas < targetReplicas(model) ? 2 : 1;
        return costMillis + contentionFactor * demand.callsPerSecond() * CONTENTION_COST_MILLIS / remainingReplicas;
    }
}
