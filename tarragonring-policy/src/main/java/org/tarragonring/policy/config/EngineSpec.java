package org.tarragonring.policy.config;

import java.util.Map;

import org.tarragonring.ids.ModelName;

/**
 * Tells what the replicas of a model-serving service can hold.
 *
 * @param slots the requests that a replica runs at once
 * @param weightsMegabytes the memory for weights and adapters of a replica
 * @param maxAdapters the adapters that a replica holds at most
 * @param storeLoadsPerSecond the loads from the weight store that may begin each second over all replicas
 * @param models the models by name, not null
 * @since 0.2.0
 */
public record EngineSpec(
        int slots,
        double weightsMegabytes,
        int maxAdapters,
        double storeLoadsPerSecond,
        Map<ModelName, ModelSpec> models) {

    /** Copies the models. */
    public EngineSpec {
        models = Map.copyOf(models);
    }

    /**
     * Returns the memory that models may take when room for all adapters is kept free.
     *
     * @return megabytes
     */
    public double modelMegabytes() {
        double largestAdapter = models.values().stream()
                .mapToDouble(ModelSpec::adapterMegabytes)
                .max()
                .orElse(0);
        return weightsMegabytes - maxAdapters * largestAdapter;
    }
}
