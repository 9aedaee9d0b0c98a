package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.upstream.CheckpointTier;

/** Finds out how a replica could load a model, and what that costs. */
final class LoadOptions {

    /** The total call rate below which the service counts as idle. */
    private static final double IDLE_CALLS_PER_SECOND = 0.5;

    /** The duration of an unload of a model that has no running calls. */
    private static final long UNLOAD_MILLIS = 100;

    /** The eviction cost, as caller waiting time, from which a load is dropped unless calls wait for the model. */
    private static final double MAX_PROACTIVE_EVICTION_COST_MILLIS = 700;

    private final EngineSpec engine;
    private final ServiceDemand demand;
    private final EvictionCosts evictionCosts;

    LoadOptions(EngineSpec engine, ServiceDemand demand, EvictionCosts evictionCosts) {
        this.engine = Objects.requireNonNull(engine, "engine");
        this.demand = Objects.requireNonNull(demand, "demand");
        this.evictionCosts = Objects.requireNonNull(evictionCosts, "evictionCosts");
    }

    /**
     * Selects the models to evict from a replica, cheapest first, and computes the total cost of the load. Returns
     * empty if the model does not fit or the evictions cost too much.
     */
    Optional<LoadOption> find(ReplicaSnapshot replica, ModelName model, PlannedLoad.Reason reason) {
        long loadMillis = loadTime(replica.state(), model).toMillis();
        CheckpointTier tier = replica.state().nearestTier(model);
        boolean isFromStore = tier == CheckpointTier.REMOTE;
        boolean isForCalls = reason.isForWaitingCalls()
                || evictionCosts.demandFor(model).waitingCalls() >= PlacementPlanner.MANY_WAITING_CALLS;
        double maxEvictionCostMillis =
                isForCalls ? evictionCosts.maxCostMillis(model, tier, loadMillis) : MAX_PROACTIVE_EVICTION_COST_MILLIS;
        ToDoubleFunction<ModelName> victimCost = victim -> isFromStore
                ? evictionCosts.storeLoadCostMillis(replica, victim, loadMillis)
                : evictionCosts.swapCostMillis(replica, victim);
        boolean keepsPlacedModels = !reason.isForWaitingCalls() && isIdle();
        double requiredMegabytes = weightsMegabytes(model);
        double freeMegabytes = freeMegabytes(replica);
        double evictionCostMillis = 0;
        long durationMillis = loadMillis;
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
            durationMillis += UNLOAD_MILLIS + replica.unloadWaitMillis(victim);
        }
        double blockedMillis =
                isFromStore && isForCalls ? evictionCosts.blockedCheckpointsCostMillis(replica, model, loadMillis) : 0;
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
                        + evictionCosts.slowReplicaCostMillis(replica, model)
                        + replica.state().residents().size();
        return Optional.of(new LoadOption(replica, evictions, durationMillis, evictionCostMillis, costMillis));
    }

    private double freeMegabytes(ReplicaSnapshot replica) {
        double usedMegabytes = replica.pendingLoad().map(this::weightsMegabytes).orElse(0.0);
        for (ModelName resident : replica.state().residents().keySet()) {
            usedMegabytes += weightsMegabytes(resident);
        }
        return engine.modelMemoryMegabytes() - usedMegabytes;
    }

    /** Returns the load of a model into unused memory of a replica. */
    LoadOption withoutEvictions(ReplicaSnapshot replica, ModelName model) {
        return new LoadOption(
                replica, List.of(), loadTime(replica.state(), model).toMillis(), 0, 0);
    }

    /** Checks if a replica has unused memory for a model. */
    boolean fitsInFreeMemory(ReplicaSnapshot replica, ModelName model) {
        return freeMegabytes(replica) >= weightsMegabytes(model);
    }

    /** Returns how long a replica takes until it can have loaded a model, without the evictions. */
    long checkpointLoadMillis(ReplicaSnapshot replica, ModelName model) {
        return replica.availableInMillis() + loadTime(replica.state(), model).toMillis();
    }

    /** Returns the models that the engine knows. */
    Set<ModelName> models() {
        return engine.models().keySet();
    }

    /** Returns the specification of a model, empty if the engine does not know it. */
    Optional<ModelSpec> spec(ModelName model) {
        return Optional.ofNullable(engine.models().get(model));
    }

    /** Checks if there are hardly any calls. */
    boolean isIdle() {
        return demand.callsPerSecond() < IDLE_CALLS_PER_SECOND;
    }

    private Duration loadTime(ReplicaState replica, ModelName model) {
        return engine.models().get(model).loadTime(replica.nearestTier(model));
    }

    private double weightsMegabytes(ModelName model) {
        ModelSpec spec = engine.models().get(model);
        return spec == null ? 0 : spec.weightsMegabytes();
    }
}
