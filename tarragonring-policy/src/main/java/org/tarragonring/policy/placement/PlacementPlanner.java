package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Decides which models to load on which replicas, from the state of the replicas and the demand of all entries.
 *
 * <p>Models that are called but resident on too few replicas come first: those that a replica has a local checkpoint of,
 * most urgent first, then those that need the weight store. Each goes to the replica where it is available soonest at the
 * lowest cost to the calls of other models. Then busy models get additional replicas, checkpoints that no replica has, or
 * only one has of a busy model, are fetched, and unused memory is filled.
 *
 * @since 0.2.0
 */
public final class PlacementPlanner {

    /**
     * The number of loads of missing checkpoints that may be in progress under traffic; each blocks a replica from swapping
     * for seconds.
     */
    static final int MAX_STORE_LOADS_IN_TRAFFIC = 1;

    /** The same limit for second checkpoints of busy models, which are fetched in case a replica is lost. */
    static final int MAX_STORE_LOADS_FOR_BUSY_MODELS = 2;

    /**
     * The call rate of a model, as a multiple of the mean call rate per replica, from which it gets a second checkpoint
     * from the store. For less busy models the load is not worthwhile: it keeps a replica from swapping models for as
     * long as the model would be missing if its only replica were lost.
     */
    private static final double SECOND_CHECKPOINT_RATE_FACTOR = 2;

    /** The number of waiting calls from which a model may be loaded from the store although another replica has it. */
    private static final int MANY_WAITING_CALLS = 3;

    /** The total call rate below which the service counts as idle. */
    private static final double IDLE_CALLS_PER_SECOND = 0.5;

    /** The slack below which calls are so late that a model is loaded from the store despite a local checkpoint. */
    private static final long STORE_LOAD_MAX_SLACK_MILLIS = -2_500;

    /** The duration of an unload of a model that has no running calls. */
    private static final long UNLOAD_MILLIS = 100;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * The call rate from which a model is busy: free memory on its replicas is not filled, and a second checkpoint is
     * allowed.
     */
    private static final double BUSY_MODEL_CALLS_PER_SECOND = 1;

    /** The eviction cost, as caller waiting time, from which a load is dropped unless calls wait for the model. */
    private static final double MAX_PROACTIVE_EVICTION_COST_MILLIS = 700;

    private final EngineSpec engine;

    /**
     * Creates a planner for one service.
     *
     * @param engine the models and the capacity of the service's replicas, not null
     */
    public PlacementPlanner(EngineSpec engine) {
        this.engine = Objects.requireNonNull(engine, "engine");
    }

    /**
     * Decides the next loads.
     *
     * @param replicas the replicas that may receive calls, not null
     * @param demand the demand, not null; models that the engine does not know are ignored
     * @param limits the limits for loads from the weight store, not null
     * @return the loads, at most one per replica; empty if there is nothing to load
     */
    public List<PlannedLoad> plan(Collection<ReplicaSnapshot> replicas, ServiceDemand demand, StoreLoadLimits limits) {
        PlanningPass pass = new PlanningPass(replicas, demand, limits);
        pass.planLoadsForCalls();
        if (!pass.hasUnplannedWaitingCalls()) {
            pass.scaleOutBusyModels();
        }
        pass.replicateBusyCheckpoints();
        if (limits.maySpeculate()) {
            pass.fetchMissingCheckpoints();
        }
        if (!pass.hasUnplannedWaitingCalls()) {
            pass.fillFreeMemory();
        }
        return pass.plannedLoads;
    }

    private Duration loadTime(ReplicaState replica, ModelName model) {
        return engine.models().get(model).loadTime(replica.nearestTier(model));
    }

    private double weightsMegabytes(ModelName model) {
        ModelSpec spec = engine.models().get(model);
        return spec == null ? 0 : spec.weightsMegabytes();
    }

    /** The working state of one call of {@link PlacementPlanner#plan}. */
    private final class PlanningPass {

        private final List<ReplicaSnapshot> candidates = new ArrayList<>();
        private final Collection<ReplicaSnapshot> replicas;
        private final ServiceDemand demand;
        private final EvictionCosts evictionCosts;
        private final Set<ModelName> pendingModels = new HashSet<>();
        private final List<PlannedLoad> plannedLoads = new ArrayList<>();
        private final StoreLoadLimits limits;
        private int storeLoads;
        private int newStoreLoads;

        PlanningPass(Collection<ReplicaSnapshot> replicas, ServiceDemand demand, StoreLoadLimits limits) {
            this.limits = Objects.requireNonNull(limits, "limits");
            this.replicas = replicas;
            this.demand = demand;
            this.evictionCosts =
                    new EvictionCosts(replicas, demand, engine.models().size());
            for (ReplicaSnapshot replica : replicas) {
                if (replica.controllable()) {
                    candidates.add(replica);
                }
                replica.pendingLoad().ifPresent(model -> {
                    boolean isFromStore = replica.state().nearestTier(model) == CheckpointTier.REMOTE;
                    // An overdue load from a local checkpoint loads from the store, as the checkpoint was dropped.
                    if (isFromStore || !replica.overdue()) {
                        pendingModels.add(model);
                    }
                    storeLoads += isFromStore || replica.overdue() ? 1 : 0;
                });
            }
        }

        /**
         * Loads the models that are called but resident on too few replicas: first those that a replica can load from a
         * local checkpoint, most urgent first, then those of which the store's capacity serves most calls.
         */
        void planLoadsForCalls() {
            loadable(demand.byModel().values().stream()
                            .filter(this::isUnderserved)
                            .sorted(Comparator.comparing((AggregateDemand called) ->
                                            !evictionCosts.hasCheckpointToLoad(called.model()))
                                    .thenComparingLong(called -> evictionCosts.hasCheckpointToLoad(called.model())
                                            ? called.slackMillis()
                                            : 0)
                                    .thenComparingDouble(
                                            called -> -evictionCosts.unservedCallsPerSecond(called.model())))
                            .map(AggregateDemand::model)
                            .toList())
                    .forEach(model -> planLoad(
                            model,
                            evictionCosts.residentReplicas(model) == 0
                                    ? PlannedLoad.Reason.WAITING_CALLS
                                    : PlannedLoad.Reason.BUSY_MODEL));
        }

        private boolean isUnderserved(AggregateDemand called) {
            int residentReplicas = evictionCosts.residentReplicas(called.model());
            return residentReplicas == 0
                    ? called.waitingCalls() > 0 || isCalledOften(called)
                    : called.waitingCalls() >= MANY_WAITING_CALLS
                            && residentReplicas < evictionCosts.requiredReplicas(called.model());
        }

        /** Checks if another call is expected while the model is loaded from the weight store. */
        private boolean isCalledOften(AggregateDemand called) {
            ModelSpec spec = engine.models().get(called.model());
            return spec != null
                    && called.callsPerSecond() * spec.storeLoadTime().toMillis() >= MILLIS_PER_SECOND;
        }

        /** Checks if calls wait for a model that is neither resident nor already being loaded or planned. */
        boolean hasUnplannedWaitingCalls() {
            return demand.byModel().values().stream()
                    .anyMatch(called -> called.waitingCalls() > 0
                            && evictionCosts.residentReplicas(called.model()) == 0
                            && !pendingModels.contains(called.model()));
        }

        /** Loads busy models that one replica suffices for on another one, in case that replica is lost. */
        void scaleOutBusyModels() {
            loadable(demand.byModel().keySet().stream()
                            .filter(model ->
                                    evictionCosts.residentReplicas(model) < evictionCosts.targetReplicas(model))
                            .sorted(Comparator.comparingDouble((ModelName model) ->
                                    -evictionCosts.demandFor(model).callsPerSecond()))
                            .toList())
                    .forEach(model -> planLoad(model, PlannedLoad.Reason.BUSY_MODEL));
        }

        /** Loads models from local checkpoints into unused replica memory, those with the highest call rate first. */
        void fillFreeMemory() {
            for (ReplicaSnapshot replica : List.copyOf(candidates)) {
                if (!replica.isAvailable() || hostsBusyModel(replica)) {
                    continue;
                }
                loadable(replica.state().localCheckpoints().stream()
                                .filter(model -> evictionCosts.residentReplicas(model) == 0)
                                .sorted(Comparator.comparingDouble((ModelName model) ->
                                                -evictionCosts.demandFor(model).callsPerSecond())
                                        .thenComparing(ModelName::value))
                                .toList())
                        .stream()
                        .filter(model -> freeMegabytes(replica) >= weightsMegabytes(model))
                        .findFirst()
                        .ifPresent(model ->
                                addLoad(new LoadOption(replica, List.of(), 0), model, PlannedLoad.Reason.FREE_ROOM));
            }
        }

        /** Checks if a replica has a busy model; a load would delay adapters that the model's next calls request. */
        private boolean hostsBusyModel(ReplicaSnapshot replica) {
            return replica.state().residents().keySet().stream()
                    .anyMatch(model -> evictionCosts.demandFor(model).callsPerSecond() >= BUSY_MODEL_CALLS_PER_SECOND);
        }

        /** Fetches a second checkpoint of each busy model whose checkpoint only one replica has. */
        void replicateBusyCheckpoints() {
            Map<ModelName, Integer> replicaCounts = checkpointReplicas();
            double minCallsPerSecond = Math.max(
                    BUSY_MODEL_CALLS_PER_SECOND,
                    SECOND_CHECKPOINT_RATE_FACTOR * demand.callsPerSecond() / Math.max(1, replicas.size()));
            planFetches(
                    replicaCounts.keySet().stream()
                            .filter(model -> replicaCounts.get(model) == 1
                                    && evictionCosts.demandFor(model).callsPerSecond() >= minCallsPerSecond)
                            .toList(),
                    MAX_STORE_LOADS_FOR_BUSY_MODELS,
                    PlannedLoad.Reason.SINGLE_COPY);
        }

        void fetchMissingCheckpoints() {
            Set<ModelName> missing = new HashSet<>(engine.models().keySet());
            missing.removeAll(checkpointReplicas().keySet());
            planFetches(
                    List.copyOf(missing),
                    isIdle() ? Math.max(1, limits.maxConcurrentLoads() / 2) : MAX_STORE_LOADS_IN_TRAFFIC,
                    PlannedLoad.Reason.NO_COPY);
        }

        private boolean isIdle() {
            return demand.callsPerSecond() < IDLE_CALLS_PER_SECOND;
        }

        private void planFetches(List<ModelName> models, int maxStoreLoads, PlannedLoad.Reason reason) {
            loadable(models.stream()
                            .sorted(Comparator.comparingDouble((ModelName model) ->
                                            -evictionCosts.demandFor(model).callsPerSecond())
                                    .thenComparing(ModelName::value))
                            .toList())
                    .forEach(model -> {
                        if (storeLoads < maxStoreLoads) {
                            planLoad(model, reason);
                        }
                    });
        }

        private Map<ModelName, Integer> checkpointReplicas() {
            Map<ModelName, Integer> replicaCounts = new HashMap<>();
            for (ReplicaSnapshot replica : replicas) {
                Set<ModelName> models = new HashSet<>(replica.state().localCheckpoints());
                models.addAll(replica.state().residents().keySet());
                models.forEach(model -> replicaCounts.merge(model, 1, Integer::sum));
            }
            return replicaCounts;
        }

        private List<ModelName> loadable(List<ModelName> models) {
            return models.stream()
                    .filter(model -> engine.models().containsKey(model) && !pendingModels.contains(model))
                    .toList();
        }

        /**
         * Plans a load on the replica with the lowest cost. If that replica cannot start a load yet and calls are
         * waiting, reserves the replica for the model in this pass instead.
         */
        private void planLoad(ModelName model, PlannedLoad.Reason reason) {
            Optional<LoadOption> best = candidates.stream()
                    .filter(replica -> !replica.state().holds(model, ""))
                    .filter(replica -> replica.state().nearestTier(model) != CheckpointTier.REMOTE
                            || mayLoadFromStore() && isStoreLoadWorthwhile(replica, model, reason))
                    .flatMap(replica -> findOption(replica, model, reason).stream())
                    .min(Comparator.comparingDouble(LoadOption::costMillis));
            best.ifPresent(option -> {
                if (option.replica.isAvailable()) {
                    addLoad(option, model, reason);
                } else if (reason == PlannedLoad.Reason.WAITING_CALLS) {
                    candidates.remove(option.replica);
                    pendingModels.add(model);
                }
            });
        }

        private boolean mayLoadFromStore() {
            return newStoreLoads < limits.maxNewLoads() && storeLoads < limits.maxConcurrentLoads();
        }

        /** Checks if a store load, which blocks the replica for seconds, is justified. */
        private boolean isStoreLoadWorthwhile(ReplicaSnapshot replica, ModelName model, PlannedLoad.Reason reason) {
            if (reason == PlannedLoad.Reason.NO_COPY
                    || reason == PlannedLoad.Reason.SINGLE_COPY
                    || replica.state().residents().isEmpty()) {
                return true;
            }
            if (reason == PlannedLoad.Reason.BUSY_MODEL) {
                return evictionCosts.demandFor(model).waitingCalls() >= MANY_WAITING_CALLS
                        && !evictionCosts.hasCheckpointToLoad(model);
            }
            boolean hasCheckpoint = replicas.stream()
                    .anyMatch(
                            other -> other.controllable() && other.state().nearestTier(model) != CheckpointTier.REMOTE);
            return !hasCheckpoint
                    || evictionCosts.demandFor(model).waitingCalls() >= MANY_WAITING_CALLS
                    || evictionCosts.demandFor(model).slackMillis() < STORE_LOAD_MAX_SLACK_MILLIS;
        }

        private void addLoad(LoadOption option, ModelName model, PlannedLoad.Reason reason) {
            CheckpointTier tier = option.replica.state().nearestTier(model);
            if (tier == CheckpointTier.REMOTE) {
                storeLoads++;
                newStoreLoads++;
            }
            candidates.remove(option.replica);
            pendingModels.add(model);
            option.evictions.forEach(evictionCosts::recordEviction);
            long expectedDurationMillis =
                    loadTime(option.replica.state(), model).toMillis();
            for (ModelName victim : option.evictions) {
                expectedDurationMillis += UNLOAD_MILLIS + option.replica.unloadWaitMillis(victim);
            }
            plannedLoads.add(new PlannedLoad(
                    option.replica.state().id(), model, option.evictions, tier, expectedDurationMillis, reason));
        }

        /**
         * Selects the models to evict from a replica, cheapest first, and computes the total cost of the load. Returns
         * empty if the model does not fit or the evictions cost too much.
         */
        private Optional<LoadOption> findOption(ReplicaSnapshot replica, ModelName model, PlannedLoad.Reason reason) {
            long loadMillis = loadTime(replica.state(), model).toMillis();
            CheckpointTier tier = replica.state().nearestTier(model);
            boolean isFromStore = tier == CheckpointTier.REMOTE;
            boolean isForCalls = reason == PlannedLoad.Reason.WAITING_CALLS
                    || evictionCosts.demandFor(model).waitingCalls() >= MANY_WAITING_CALLS;
            double maxEvictionCostMillis = isForCalls
                    ? evictionCosts.maxCostMillis(model, tier, loadMillis)
                    : MAX_PROACTIVE_EVICTION_COST_MILLIS;
            ToDoubleFunction<ModelName> victimCost = victim -> isFromStore
                    ? evictionCosts.storeLoadCostMillis(replica, victim, loadMillis)
                    : evictionCosts.swapCostMillis(replica, victim);
            boolean keepsPlacedModels = reason != PlannedLoad.Reason.WAITING_CALLS && isIdle();
            double requiredMegabytes = weightsMegabytes(model);
            double freeMegabytes = freeMegabytes(replica);
            double evictionCostMillis = 0;
            List<ModelName> evictions = new ArrayList<>();
            List<ModelName> cheapestFirst = replica.state().residents().keySet().stream()
                    .filter(victim -> !keepsPlacedModels || !replica.state().isPlaced(victim))
                    .sorted(Comparator.comparingDouble(victimCost).thenComparing(ModelName::value))
                    .toList();
            for (ModelName victim : cheapestFirst) {
                if (freeMegabytes >= requiredMegabytes) {
                    break;
                }
                evictions.add(victim);
                freeMegabytes += weightsMegabytes(victim);
                evictionCostMillis += victimCost.applyAsDouble(victim);
            }
            double blockedMillis = isFromStore && isForCalls
                    ? evictionCosts.blockedCheckpointsCostMillis(replica, model, loadMillis)
                    : 0;
            if (freeMegabytes < requiredMegabytes
                    || !evictions.isEmpty() && evictionCostMillis >= maxEvictionCostMillis
                    || blockedMillis > 0 && blockedMillis + evictionCostMillis > maxEvictionCostMillis) {
                return Optional.empty();
            }
            // Evicting a model from a replica that then loads from the store does not spare its calls the wait.
            evictionCostMillis += blockedMillis
                    + evictionCosts.blockingCostMillis(replica, isFromStore ? Set.of() : evictions, loadMillis);
            long loadDelayMillis = replica.availableInMillis() + loadMillis;
            double costMillis =
                    loadDelayMillis * Math.max(1, evictionCosts.demandFor(model).waitingCalls())
                            + evictionCostMillis
                            + replica.state().residents().size();
            return Optional.of(new LoadOption(replica, evictions, costMillis));
        }

        private double freeMegabytes(ReplicaSnapshot replica) {
            double usedMegabytes = replica.pendingLoad()
                    .map(PlacementPlanner.this::weightsMegabytes)
                    .orElse(0.0);
            for (ModelName resident : replica.state().residents().keySet()) {
                usedMegabytes += weightsMegabytes(resident);
            }
            return engine.modelMemoryMegabytes() - usedMegabytes;
        }
    }

    private record LoadOption(ReplicaSnapshot replica, List<ModelName> evictions, double costMillis) {}
}
