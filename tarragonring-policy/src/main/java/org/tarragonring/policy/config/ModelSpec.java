package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Describes the size and the load times of a model.
 *
 * @param name the model, not null
 * @param weightsMegabytes the size of the model weights
 * @param adapterMegabytes the size of each adapter of the model
 * @param storeLoadTime the duration of a load from the weight store, not null
 * @param diskLoadTime the duration of a load from the disk of the replica, not null
 * @param memoryLoadTime the duration of a load from the main memory of the replica, not null
 * @since 0.2.0
 */
public record ModelSpec(
        ModelName name,
        double weightsMegabytes,
        double adapterMegabytes,
        Duration storeLoadTime,
        Duration diskLoadTime,
        Duration memoryLoadTime) {

    /** Checks the arguments. */
    public ModelSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoadTime, "storeLoadTime");
        Objects.requireNonNull(diskLoadTime, "diskLoadTime");
        Objects.requireNonNull(memoryLoadTime, "memoryLoadTime");
    }

    /**
     * Returns the configured duration of a load.
     *
     * @param tier the storage tier that the replica loads from, not null
     * @return the duration, never null
     */
    public Duration loadTime(CheckpointTier tier) {
        return switch (tier) {
            case MEMORY -> memoryLoadTime;
            case DISK -> diskLoadTime;
            default -> storeLoadTime;
        };
    }
}
