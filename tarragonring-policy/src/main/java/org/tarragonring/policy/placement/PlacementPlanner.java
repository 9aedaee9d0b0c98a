package org.tarragonring.policy.placement;

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

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Decides which models to load on which replicas, from the state of the replicas and the demand of all entries.
 *
 * <p>Models that are called but resident on too few replicas come first: those that a replica has a local checkpoint of,
 * most urgent first, then those that need the weight store. Each goes to the replica where it is available soonest at the
 * lowest cost to the calls of other models. A load in progress hides a model with waiting calls only while no replica can
 * have the model resident sooner from a local checkpoint, by a margin that pays for the second load. Then busy models get
 * additional replicas, checkpoints that no replica has, or only one has of a busy model, are fetched, and unused memory is
 * filled.
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
    static final int MANY_WAITING_CALLS = 3;

    /** The slack below which calls are so late that a model is loaded from the store despite a local checkpoint. */
    private static final long STORE_LOAD_MAX_SLACK_MILLIS = -2_500;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * The call rate from which a model is busy: free memory on its replicas is not filled, and a second checkpoint is
     * allowed.
     */
    private static final double BUSY_MODEL_CALLS_PER_SECOND = 1;

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
        pass.keepReplicasForWaitingCalls();
        if (!pass.hasUnplannedWaitingCalls()) {
            pass.scaleOutBusyModels();
        }
        pass.replicateBusyCheckpoints();
        if (limits.maySpeculate() && !pass.hasUnplannedWaitingCalls()) {
            pass.spreadCheckpoints();
        }
        if (limits.maySpeculate()) {
            pass.fetchMissingCheckpoints();
        }
        if (!pass.hasUnplannedWaitingCalls()) {
            pass.fillFreeMemory();
        }
        return pass.plannedLoads;
    }

    /** The working state of one call of {@link PlacementPlanner#plan}. */
    private final class PlanningPass {

        private final List<ReplicaSnapshot> candidates = new ArrayList<>();
        private final Collection<ReplicaSnapshot> replicas;
        private final ServiceDemand demand;
        private final EvictionCosts evictionCosts;
        private final Set<ModelName> pendingModels = new HashSet<>();
        private final ExpectedLoads expectedLoads = new ExpectedLoads();
        private final LoadOptions options;
        private final SlowLoads slowLoads;
        private final CheckpointSpread spread;
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
            this.options = new LoadOptions(engine, demand, evictionCosts);
            this.slowLoads = new SlowLoads(options, evictionCosts, expectedLoads);
            this.spread = new CheckpointSpread(replicas, demand, options);
            for (ReplicaSnapshot replica : replicas) {
                if (replica.controllable()) {
                    candidates.add(replica);
                }
                replica.pendingLoad().ifPresent(model -> {
                    boolean isFromStore = replica.state().nearestTier(model) == CheckpointTier.REMOTE;
                    // An overdue load from a local checkpoint loads from the store, as the checkpoint was dropped.
                    if (isFromStore || !replica.overdue()) {
                        pendingModels.add(model);
                        expectedLoads.add(model, replica.availableInMillis());
                    }
                    storeLoads += isFromStore || replica.overdue() ? 1 : 0;
                });
            }
        }

        /**
         * Loads the models that are called but resident on too few replicas: first those that a replica can load from a
         * local checkpoint, most urgent first, then those of which the store's capacity serves most calls. If calls wait
         * behind a slow load, the models with local checkpoints whose calls have most to lose come first instead.
         */
        void planLoadsForCalls() {
            Set<ModelName> behindSlowLoads = slowLoads.modelsBehind(candidates);
            demand.byModel().values().stream()
                    .filter(called -> behindSlowLoads.contains(called.model())
                            || isUnderserved(called) && isLoadable(called.model()))
                    .sorted(Comparator.comparing(
                                    (AggregateDemand called) -> !evictionCosts.hasCheckpointToLoad(called.model()))
                            .thenComparingDouble(
                                    called -> behindSlowLoads.isEmpty() ? 0 : -slowLoads.lossMillis(called))
                            .thenComparingLong(called ->
                                    evictionCosts.hasCheckpointToLoad(called.model()) ? called.slackMillis() : 0)
                            .thenComparingDouble(called -> -evictionCosts.unservedCallsPerSecond(called.model())))
                    .map(AggregateDemand::model)
                    .toList()
                    .forEach(model -> planLoad(model, reasonFor(model, behindSlowLoads)));
        }

        private PlannedLoad.Reason reasonFor(ModelName model, Set<ModelName> behindSlowLoads) {
            if (behindSlowLoads.contains(model)) {
                return PlannedLoad.Reason.SOONER_CHECKPOINT;
            }
            return evictionCosts.residentReplicas(model) == 0
                    ? PlannedLoad.Reason.WAITING_CALLS
                    : PlannedLoad.Reason.BUSY_MODEL;
        }

        /**
         * Keeps the replicas that can have a model with waiting calls resident soonest from a local checkpoint out of the
         * loads that no call waits for, unless another load of that model ends about as soon.
         */
        void keepReplicasForWaitingCalls() {
            demand.byModel().values().stream()
                    .filter(called -> called.waitingCalls() > 0
                            && engine.models().containsKey(called.model())
                            && evictionCosts.residentReplicas(called.model()) == 0)
                    .forEach(called -> candidates.stream()
                            .filter(replica -> replica.state().nearestTier(called.model()) != CheckpointTier.REMOTE)
                            .min(Comparator.comparingLong(
                                    replica -> options.checkpointLoadMillis(replica, called.model())))
                            .filter(replica -> expectedLoads.savedMillis(
                                            called.model(), options.checkpointLoadMillis(replica, called.model()))
                                    >= SlowLoads.MIN_SAVED_MILLIS)
                            .ifPresent(candidates::remove));
        }

        private boolean isUnderserved(AggregateDemand called) {
            int residentReplicas = evictionCosts.residentReplicas(called.model());
            return residentReplicas == 0
                    ? called.waitingCalls() > 0 || isCalledOften(called)
                    : called.waitingCalls() >= MANY_WAITING_CALLS
                            && evictionCosts.residentCapacity(called.model())
                                    < evictionCosts.requiredReplicas(called.model());
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
                                    evictionCosts.residentCapacity(model) < evictionCosts.targetReplicas(model))
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
                        .filter(model -> options.fitsInFreeMemory(replica, model))
                        .findFirst()
                        .ifPresent(model ->
                                addLoad(options.withoutEvictions(replica, model), model, PlannedLoad.Reason.FREE_ROOM));
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

        /** Fetches further checkpoints of models whose loss would cost callers more than the load costs other calls. */
        void spreadCheckpoints() {
            int maxStoreLoads = Math.min(MAX_STORE_LOADS_FOR_BUSY_MODELS, Math.max(1, limits.maxConcurrentLoads() / 2));
            for (ModelName model : loadable(spread.mostCostlyLossFirst())) {
                if (storeLoads < maxStoreLoads) {
                    planLoad(model, PlannedLoad.Reason.SPREAD_COPY);
                }
            }
        }

        private boolean isWorthSpreading(LoadOption option, ModelName model) {
            boolean isNewCopy = option.replica().state().nearestTier(model) == CheckpointTier.REMOTE;
            boolean blocksStore = storeLoads + 1 >= limits.maxConcurrentLoads();
            double costMillis = option.othersCostMillis()
                    + evictionCosts.blockedCheckpointsCostMillis(option.replica(), model, option.durationMillis())
                    + (blocksStore
                            ? evictionCosts.blockedStoreCostMillis(spread.withoutCheckpoint(), option.durationMillis())
                            : 0);
            return isNewCopy && spread.worthMillis(model, option.replica()) > costMillis;
        }

        void fetchMissingCheckpoints() {
            planFetches(
                    List.copyOf(spread.withoutCheckpoint()),
                    options.isIdle() ? Math.max(1, limits.maxConcurrentLoads() / 2) : MAX_STORE_LOADS_IN_TRAFFIC,
                    PlannedLoad.Reason.NO_COPY);
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
            return models.stream().filter(this::isLoadable).toList();
        }

        private boolean isLoadable(ModelName model) {
            return engine.models().containsKey(model) && !pendingModels.contains(model);
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
                    .filter(replica ->
                            reason != PlannedLoad.Reason.SOONER_CHECKPOINT || slowLoads.isSooner(replica, model))
                    .flatMap(replica -> options.find(replica, model, reason).stream())
                    .filter(option ->
                            reason != PlannedLoad.Reason.SOONER_CHECKPOINT || slowLoads.isWorthReplacing(option, model))
                    .filter(option -> reason != PlannedLoad.Reason.SPREAD_COPY || isWorthSpreading(option, model))
                    .min(Comparator.comparingDouble(option -> option.costMillis()
                            - (reason.isCopy() ? spread.domainWorthMillis(model, option.replica()) : 0)));
            best.ifPresent(option -> {
                if (option.replica().isAvailable()) {
                    addLoad(option, model, reason);
                } else if (reason.isForWaitingCalls()) {
                    candidates.remove(option.replica());
                    pendingModels.add(model);
                    expectedLoads.add(model, option.residentInMillis());
                }
            });
        }

        private boolean mayLoadFromStore() {
            return newStoreLoads < limits.maxNewLoads() && storeLoads < limits.maxConcurrentLoads();
        }

        /** Checks if a store load, which blocks the replica for seconds, is justified. */
        private boolean isStoreLoadWorthwhile(ReplicaSnapshot replica, ModelName model, PlannedLoad.Reason reason) {
            if (reason == PlannedLoad.Reason.NO_COPY
                    || reason.isCopy()
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
            CheckpointTier tier = option.replica().state().nearestTier(model);
            if (tier == CheckpointTier.REMOTE) {
                storeLoads++;
                newStoreLoads++;
            }
            candidates.remove(option.replica());
            pendingModels.add(model);
            option.evictions().forEach(victim -> evictionCosts.recordEviction(option.replica(), victim));
            expectedLoads.add(model, option.residentInMillis());
            plannedLoads.add(new PlannedLoad(
                    option.replica().state().id(), model, option.evictions(), tier, option.durationMillis(), reason));
        }
    }
}
