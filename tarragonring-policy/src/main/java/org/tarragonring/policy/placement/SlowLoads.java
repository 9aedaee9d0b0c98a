package org.tarragonring.policy.placement;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Decides which models with waiting calls are loaded a second time, as a replica can have them resident from a local
 * checkpoint sooner than the load in progress ends.
 */
final class SlowLoads {

    /**
     * The time by which a second load must end earlier than the one in progress. Expected ends are off by some hundred
     * milliseconds: an order that is retried, the poll that notices the end, and the notice of it.
     */
    static final long MIN_SAVED_MILLIS = 1_000;

    private final LoadOptions options;
    private final EvictionCosts evictionCosts;
    private final ExpectedLoads expectedLoads;

    SlowLoads(LoadOptions options, EvictionCosts evictionCosts, ExpectedLoads expectedLoads) {
        this.options = Objects.requireNonNull(options, "options");
        this.evictionCosts = Objects.requireNonNull(evictionCosts, "evictionCosts");
        this.expectedLoads = Objects.requireNonNull(expectedLoads, "expectedLoads");
    }

    /** Returns the models with waiting calls that a replica can have sooner than the load in progress ends. */
    Set<ModelName> modelsBehind(Collection<ReplicaSnapshot> candidates) {
        return expectedLoads.models().stream()
                .filter(model -> options.spec(model).isPresent()
                        && evictionCosts.demandFor(model).waitingCalls() > 0
                        && evictionCosts.residentReplicas(model) == 0
                        && candidates.stream().anyMatch(replica -> isSooner(replica, model)))
                .collect(Collectors.toSet());
    }

    /** Checks if a replica can have a model sooner from a local checkpoint than the expected load ends. */
    boolean isSooner(ReplicaSnapshot replica, ModelName model) {
        return replica.state().nearestTier(model) != CheckpointTier.REMOTE
                && !replica.pendingLoad().equals(Optional.of(model))
                && expectedLoads.savedMillis(model, options.checkpointLoadMillis(replica, model)) >= MIN_SAVED_MILLIS;
    }

    /** Returns what calls lose if their model with a local checkpoint is not loaded from it. */
    double lossMillis(AggregateDemand called) {
        if (!evictionCosts.hasCheckpointToLoad(called.model())) {
            return 0;
        }
        ModelSpec spec = options.spec(called.model()).orElseThrow();
        long diskMillis = spec.diskLoadTime().toMillis();
        long savedMillis = expectedLoads.models().contains(called.model())
                ? expectedLoads.savedMillis(called.model(), diskMillis)
                : spec.storeLoadTime().toMillis() - diskMillis;
        return evictionCosts.waitCostMillis(called.model(), savedMillis);
    }

    /** Checks whether what waiting calls save by a second load is more than it costs the calls of other models. */
    boolean isWorthReplacing(LoadOption option, ModelName model) {
        long savedMillis = expectedLoads.savedMillis(model, option.residentInMillis());
        return savedMillis >= MIN_SAVED_MILLIS
                && evictionCosts.waitCostMillis(model, savedMillis) > option.othersCostMillis();
    }
}
