package org.tarragonring.policy.config;

import java.util.Map;

import org.tarragonring.ids.ModelName;

/**
 * Describes the models and the replica capacity of a model-serving service.
 *
 * @param slots the number of requests that a replica runs concurrently
 * @param memoryMegabytes the memory of a replica for model weights and adapters
 * @param maxAdapters the maximum number of adapters that a replica holds
 * @param maxStoreLoadsPerSecond the maximum number of loads from the weight store that may start per second across all
 *     replicas
 * @param models the models by name, not null
 * @since 0.2.0
 */
public record EngineSpec(
        int slots,
        double memoryMegabytes,
        int maxAdapters,
        double maxStoreLoadsPerSecond,
        Map<ModelName, ModelSpec> models) {

    /** Copies the models. */
    public EngineSpec {
        models = Map.copyOf(models);
    }

    /**
     * Returns the memory of a replica that models may use, after reserving memory for the maximum number of the largest
     * adapters.
     *
     * @return the memory in megabytes, negative if the reserve exceeds the memory of the replica
     */
    public double modelMemoryMegabytes() {
        double largestAdapter = models.values().stream()
                .mapToDouble(ModelSpec::adapterMegabytes)
                .max()
                .orElse(0);
        return memoryMegabytes - maxAdapters * largestAdapter;
    }
}
