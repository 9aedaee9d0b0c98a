package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Tells a model's size and how long its loads take.
 *
 * @param name the model, not null
 * @param weightsMegabytes the size of its weights
 * @param adapterMegabytes the size of one of its adapters
 * @param loadFromStore the time of a load from the weight store, not null
 * @param loadFromDisk the time of a load from the replica's disk, not null
 * @param loadFromMemory the time of a load from the replica's main memory, not null
 * @since 0.2.0
 */
public record ModelSpec(
        ModelName name,
        double weightsMegabytes,
        double adapterMegabytes,
        Duration loadFromStore,
        Duration loadFromDisk,
        Duration loadFromMemory) {

    /** Checks the arguments. */
    public ModelSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(loadFromStore, "loadFromStore");
        Objects.requireNonNull(loadFromDisk, "loadFromDisk");
        Objects.requireNonNull(loadFromMemory, "loadFromMemory");
    }

    /**
     * Returns how long a load takes.
     *
     * @param tier from where the replica loads, not null
     * @return the time that the configuration gives
     */
    public Duration loadTime(CheckpointTier tier) {
        return switch (tier) {
            case MEMORY -> loadFromMemory;
            case DISK -> loadFromDisk;
            default -> loadFromStore;
        };
    }
}
