package org.tarragonring.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.upstream.CheckpointTier;

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
    static final double MISSED_CALL_MILLIS = 3_000;

    /** The cost of each millisecond in which a replica cannot load anything, as it waits for calls or loads a model. */
    private static final double BLOCKED_WEIGHT = 1.5;

    /** What losing one of several replicas costs for each call a second, as waiting. */
    private static final double CONTENTION_COST_MILLIS = 400;

    /** How much longer a call takes at a replica of half the speed: half of the objective of calls that want an answer at once. */
    private static final double SLOW_CALL_MILLIS = 500;

    /** The time for which calls count that a model gets on a slow replica: the time constant of the call rates. */
    private static final double SLOW_REPLICA_SECONDS = 5;

    /** The weight of the mean call rate in the expected rate of a model, as a number of calls. */
    private static final double PRIOR_CALLS = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ServiceDemand demand;
    private final Map<ModelName, Integer> residentReplicas = new HashMap<>();
    private final Map<ModelName, Double> residentCapacities = new HashMap<>();

    /** The replicas with a local checkpoint of each model that can load it now. */
    private final Map<ModelName, Integer> availableCheckpoints = new HashMap<>();

    /** The models that a replica without them can load now from a local checkpoint. */
    private final Set<ModelName> loadableCheckpoints = new HashSet<>();

    /** The mean call rate of a model that is resident on one replica at most. */
    private final double meanCallsPerSecond;

    EvictionCosts(Iterable<ReplicaSnapshot> replicas, ServiceDemand demand, int models) {
        this.demand = Objects.requireNonNull(demand, "demand");
        for (ReplicaSnapshot replica : replicas) {
            replica.state().residents().keySet().forEach(model -> {
                residentReplicas.merge(model, 1, Integer::sum);
                residentCapacities.merge(model, replica.capacity(), Double::sum);
            });
            if (replica.isAvailable()) {
                for (ModelName model : replica.state().localCheckpoints()) {
                    availableCheckpoints.merge(model, 1, Integer::sum);
                    if (!replica.state().holds(model, "")) {
                        loadableCheckpoints.add(model);
                    }
                }
            }
        }
        this.meanCallsPerSecond = demand.byModel().values().stream()
                        .filter(called -> residentReplicas(called.model()) <= 1)
                        .mapToDouble(AggregateDemand::callsPerSecond)
                        .sum()
                / Math.max(1, models);
    }

    /** Returns how many replicas can run a model. */
    int residentReplicas(ModelName model) {
        return residentReplicas.getOrDefault(model, 0);
    }

    /** Returns how many replicas of ordinary speed the replicas that can run a model are worth. */
    double residentCapacity(ModelName model) {
        return residentCapacities.getOrDefault(model, 0.0);
    }

    /**
     * Returns what it costs the calls of a model that a replica is slow.
     *
     * @param replica the replica that may load the model
     * @param model the model
     * @return the cost in milliseconds of callers' waiting, 0 if the replica is not slow
     */
    double slowReplicaCostMillis(ReplicaSnapshot replica, ModelName model) {
        double slowdown = 1 / replica.capacity() - 1;
        return demandFor(model).callsPerSecond()
                * SLOW_REPLICA_SECONDS
                * Math.min(slowdown * SLOW_CALL_MILLIS, MISSED_CALL_MILLIS);
    }

    /**
     * Returns the highest eviction cost in milliseconds that a load of a model justifies: by the calls that wait now, which
     * only a load from a local checkpoint serves in time, or by those that come until it could be loaded again.
     */
    double maxCostMillis(ModelName model, CheckpointTier tier, long loadMillis) {
        int waitingCalls = demandFor(model).waitingCalls();
        if (tier != CheckpointTier.REMOTE && waitingCalls > 0) {
            return waitingCalls * ABSENCE_SECONDS * MISSED_CALL_MILLIS;
        }
        double laterCalls = unservedCallsPerSecond(model) * absenceSeconds(loadMillis);
        return Math.max(waitingCalls, laterCalls) * MISSED_CALL_MILLIS;
    }

    /**
     * Returns what a later end of a model's load costs its calls: those that wait now and those that come meanwhile.
     *
     * @param model the model that no replica has
     * @param laterMillis by how much later the load ends
     * @return the cost in milliseconds of callers' waiting
     */
    double waitCostMillis(ModelName model, long laterMillis) {
        AggregateDemand called = demandFor(model);
        double calls = called.waitingCalls() + called.callsPerSecond() * laterMillis / MILLIS_PER_SECOND;
        return calls * Math.min(laterMillis, MISSED_CALL_MILLIS);
    }

    /** Returns the rate of the calls for a model that exceed what its replicas should have. */
    double unservedCallsPerSecond(ModelName model) {
        int required = Math.max(1, requiredReplicas(model));
        return expectedCallsPerSecond(model) * Math.max(0, required - residentCapacity(model)) / required;
    }

    /** Checks if a replica that does not hold a model can load it now from a local checkpoint. */
    boolean hasCheckpointToLoad(ModelName model) {
        return loadableCheckpoints.contains(model);
    }

    /** Counts a model as gone from a replica. */
    void recordEviction(ReplicaSnapshot replica, ModelName model) {
        residentCapacities.computeIfPresent(model, (key, capacity) -> capacity - replica.capacity());
        residentReplicas.computeIfPresent(model, (key, count) -> count <= 1 ? null : count - 1);
    }

    /** Returns how much all entries need a model. */
    AggregateDemand demandFor(ModelName model) {
        return demand.of(model);
    }

    /**
     * Returns the expected call rate of a model. Recent calls count, and so does their absence: the longer calls are
     * observed, the less is expected of a model without any.
     */
    double expectedCallsPerSecond(ModelName model) {
        AggregateDemand modelDemand = demandFor(model);
        if (meanCallsPerSecond == 0) {
            return modelDemand.callsPerSecond();
        }
        double estimate = (modelDemand.recentCalls() + PRIOR_CALLS)
                / (demand.observedSeconds() + PRIOR_CALLS / meanCallsPerSecond);
        return Math.max(modelDemand.callsPerSecond(), estimate);
    }

    /** Returns how many replicas of ordinary speed the present calls for a model need. */
    int requiredReplicas(ModelName model) {
        AggregateDemand modelDemand = demandFor(model);
        return (int) Math.ceil((modelDemand.runningCalls() + modelDemand.waitingCalls()) / CALLS_PER_REPLICA);
    }

    /** Returns how many replicas of ordinary speed a model should have, so that its calls bear the loss of one. */
    int targetReplicas(ModelName model) {
        boolean isBusy = demandFor(model).callsPerSecond() >= TWO_REPLICAS_CALLS_PER_SECOND;
        return Math.max(requiredReplicas(model), isBusy ? 2 : 0);
    }

    /**
     * Returns what a load costs the calls of the models that a replica holds. While it loads, a replica loads no adapter
     * either, so calls that need one wait until the end.
     *
     * @param replica the replica
     * @param excluded the models whose calls do not count
     * @param loadMillis how long the load takes
     * @return the cost in milliseconds of callers' waiting
     */
    double blockingCostMillis(ReplicaSnapshot replica, Collection<ModelName> excluded, long loadMillis) {
        double callsPerSecond = 0;
        for (ModelName resident : replica.state().residents().keySet()) {
            if (!excluded.contains(resident)) {
                callsPerSecond += demandFor(resident).callsPerSecond() / Math.max(1, residentReplicas(resident));
            }
        }
        return BLOCKED_WEIGHT * loadMillis + delayCostMillis(callsPerSecond, loadMillis);
    }

    /**
     * Returns what a load costs the calls of the models that no other replica can load from a local checkpoint meanwhile.
     *
     * @param replica the replica
     * @param loaded the model that is loaded
     * @param loadMillis how long the load takes
     * @return the cost in milliseconds of callers' waiting
     */
    double blockedCheckpointsCostMillis(ReplicaSnapshot replica, ModelName loaded, long loadMillis) {
        double callsPerSecond = 0;
        for (ModelName checkpoint : replica.state().localCheckpoints()) {
            if (residentReplicas(checkpoint) == 0
                    && !checkpoint.equals(loaded)
                    && availableCheckpoints.getOrDefault(checkpoint, 0) <= 1) {
                callsPerSecond += expectedCallsPerSecond(checkpoint);
            }
        }
        return delayCostMillis(callsPerSecond, loadMillis);
    }

    /**
     * Returns what it costs the calls of models without any local checkpoint that the weight store starts no other load.
     *
     * @param models the models without a local checkpoint
     * @param loadMillis how long the store is in use
     * @return the cost in milliseconds of callers' waiting
     */
    double blockedStoreCostMillis(Collection<ModelName> models, long loadMillis) {
        double callsPerSecond =
                models.stream().mapToDouble(this::expectedCallsPerSecond).sum();
        return delayCostMillis(callsPerSecond, loadMillis);
    }

    private static double delayCostMillis(double callsPerSecond, long loadMillis) {
        return callsPerSecond * loadMillis / MILLIS_PER_SECOND * Math.min(loadMillis / 2.0, MISSED_CALL_MILLIS);
    }

    /**
     * Returns the cost in milliseconds of evicting a model from a replica for a load from a local checkpoint, after which
     * the evicted model can be loaded again at once.
     */
    double swapCostMillis(ReplicaSnapshot replica, ModelName model) {
        double callsPerSecond = demandFor(model).callsPerSecond();
        return isLastWithWaitingCalls(model)
                ? PROHIBITIVE_COST_MILLIS
                : evictionCostMillis(replica, model, callsPerSecond, ABSENCE_SECONDS);
    }

    /**
     * Returns the cost in milliseconds of evicting a model from a replica for a load from the weight store.
     *
     * @param replica the replica
     * @param model the model to evict
     * @param loadMillis how long the load takes, in which the replica cannot load the evicted model again
     */
    double storeLoadCostMillis(ReplicaSnapshot replica, ModelName model, long loadMillis) {
        if (isLastWithWaitingCalls(model)) {
            return PROHIBITIVE_COST_MILLIS;
        }
        int here = replica.isAvailable() && replica.state().nearestTier(model) != CheckpointTier.REMOTE ? 1 : 0;
        boolean isElsewhere = availableCheckpoints.getOrDefault(model, 0) > here;
        double absenceSeconds = isElsewhere ? ABSENCE_SECONDS : absenceSeconds(loadMillis);
        double callsPerSecond = expectedCallsPerSecond(model);
        int required = requiredReplicas(model);
        int left = residentReplicas(model) - 1;
        double leftCapacity = residentCapacity(model) - replica.capacity();
        double missedShare = left > 0 && leftCapacity < required ? (required - leftCapacity) / required : 0;
        return evictionCostMillis(replica, model, callsPerSecond, absenceSeconds)
                + missedShare * callsPerSecond * absenceSeconds(loadMillis) * MISSED_CALL_MILLIS;
    }

    private boolean isLastWithWaitingCalls(ModelName model) {
        return residentReplicas(model) <= 1 && demandFor(model).waitingCalls() > 0;
    }

    private double evictionCostMillis(
            ReplicaSnapshot replica, ModelName model, double callsPerSecond, double absenceSeconds) {
        double costMillis = BLOCKED_WEIGHT * replica.unloadWaitMillis(model);
        int left = residentReplicas(model) - 1;
        if (left <= 0) {
            return costMillis + callsPerSecond * absenceSeconds * MISSED_CALL_MILLIS;
        }
        double leftCapacity = residentCapacity(model) - replica.capacity();
        double contentionFactor = leftCapacity < targetReplicas(model) ? 2 : 1;
        return costMillis + contentionFactor * callsPerSecond * CONTENTION_COST_MILLIS / left;
    }

    private static double absenceSeconds(long loadMillis) {
        return ABSENCE_SECONDS + loadMillis / MILLIS_PER_SECOND;
    }
}
