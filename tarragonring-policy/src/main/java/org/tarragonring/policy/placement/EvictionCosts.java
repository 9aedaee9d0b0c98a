package org.tarragonring.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * Estimates the cost of evicting a model from a replica, expressed as milliseconds of caller waiting time.
 *
 * <p>An unload waits for the calls that the replica runs. A model that is gone from its last replica makes the calls
 * that ask for it meanwhile miss their objective.
 */
final class EvictionCosts {

    /** The cost of evicting a model that has waiting calls; higher than any load is worth, so it is never chosen. */
    static final double PROHIBITIVE_COST_MILLIS = 1_000_000;

    /** Calls at one replica above which a model gets another one. */
    private static final double CALLS_PER_REPLICA = 7;

    /** The rate above which a model has two replicas, so that losing one costs no call its objective. */
    private static final double TWO_REPLICAS_CALLS_PER_SECOND = 1.5;

    /** The time a model is missing if it is called right after its eviction: a delayed unload plus a load. */
    private static final double ABSENCE_SECONDS = 3;

    /** The cost of a call that misses its latency objective, as caller waiting time. */
    private static final double MISSED_CALL_MILLIS = 3_000;

    /** The cost of each millisecond in which a replica cannot load anything, as it waits for calls or loads a model. */
    private static final double BLOCKED_WEIGHT = 1.5;

    /** What losing one of several replicas costs for each call a second, as waiting. */
    private static final double CONTENTION_COST_MILLIS = 400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<ModelName, AggregateDemand> demands;
    private final Map<ModelName, Integer> residentReplicas = new HashMap<>();

    EvictionCosts(Iterable<ReplicaSnapshot> replicas, Map<ModelName, AggregateDemand> demands) {
        this.demands = Objects.requireNonNull(demands, "demands");
        for (ReplicaSnapshot replica : replicas) {
            replica.state().residents().keySet().forEach(model -> residentReplicas.merge(model, 1, Integer::sum));
        }
    }

    /** Returns how many replicas can run a model. */
    int residentReplicas(ModelName model) {
        return residentReplicas.getOrDefault(model, 0);
    }

    /** Returns the highest eviction cost in milliseconds that the calls waiting for a model justify. */
    double maxCostForWaitingCalls(ModelName model) {
        return demandFor(model).waitingCalls() * ABSENCE_SECONDS * MISSED_CALL_MILLIS;
    }

    /** Counts a model as gone from one replica. */
    void recordEviction(ModelName model) {
        residentReplicas.computeIfPresent(model, (key, count) -> count <= 1 ? null : count - 1);
    }

    /** Returns how much all entries need a model. */
    AggregateDemand demandFor(ModelName model) {
        return demands.getOrDefault(model, AggregateDemand.none(model));
    }

    /** Returns how many replicas a model should have. */
    int targetReplicas(ModelName model) {
        AggregateDemand demand = demandFor(model);
        int byCalls = (int) Math.ceil((demand.runningCalls() + demand.waitingCalls()) / CALLS_PER_REPLICA);
        int byRate = demand.callsPerSecond() >= TWO_REPLICAS_CALLS_PER_SECOND ? 2 : 0;
        return Math.max(byCalls, byRate);
    }

    /** Returns the cost in milliseconds of evicting a model from a replica. */
    /**
     * Returns what a load costs the calls of the models that the replica keeps. While it loads, a replica loads no
     * adapter either, so calls that need one wait until the end.
     *
     * @param replica the replica
     * @param evictions the models that are evicted for the load
     * @param loadMillis how long the load takes
     * @return the cost in milliseconds of callers' waiting
     */
    double blockingCostMillis(ReplicaSnapshot replica, Collection<ModelName> evictions, long loadMillis) {
        double callsPerSecond = 0;
        for (ModelName resident : replica.state().residents().keySet()) {
            if (!evictions.contains(resident)) {
                callsPerSecond += demandFor(resident).callsPerSecond() / Math.max(1, residentReplicas(resident));
            }
        }
        double delayedCalls = callsPerSecond * loadMillis / MILLIS_PER_SECOND;
        return BLOCKED_WEIGHT * loadMillis + delayedCalls * Math.min(loadMillis / 2.0, MISSED_CALL_MILLIS);
    }

    double costMillis(ReplicaSnapshot replica, ModelName model) {
        AggregateDemand demand = demandFor(model);
        double costMillis = BLOCKED_WEIGHT * replica.unloadWaitMillis(model);
        int left = residentReplicas(model) - 1;
        if (left <= 0) {
            if (demand.waitingCalls() > 0) {
                return PROHIBITIVE_COST_MILLIS;
            }
            return costMillis + demand.callsPerSecond() * ABSENCE_SECONDS * MISSED_CALL_MILLIS;
        }
        double contentionFactor = left < targetReplicas(model) ? 2 : 1;
        return costMillis + contentionFactor * demand.callsPerSecond() * CONTENTION_COST_MILLIS / left;
    }
}
