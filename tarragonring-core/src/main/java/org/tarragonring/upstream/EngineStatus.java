package org.tarragonring.upstream;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * The status of an engine, as the engine reports it.
 *
 * @param incarnation an id that changes whenever the engine restarts without loaded models, not null
 * @param acceleratorBytes the size of the accelerator's memory, in bytes
 * @param honoursFence whether the engine rejects orders with an outdated fencing token
 * @param residents the models in the accelerator's memory, including those that are being loaded; not null
 * @param tiers where checkpoints are cached, by model name; a missing model is {@link CheckpointTier#REMOTE}; not null
 * @param inFlight the number of calls that the engine runs or queues; may be outdated
 * @param leaving whether the engine is about to shut down and accepts no new work
 * @since 0.1.0
 */
public record EngineStatus(
        String incarnation,
        long acceleratorBytes,
        boolean honoursFence,
        List<Resident> residents,
        Map<String, CheckpointTier> tiers,
        int inFlight,
        boolean leaving) {

    /** Rejects null components and makes immutable copies of the collections. */
    public EngineStatus {
        Objects.requireNonNull(incarnation, "incarnation");
        residents = List.copyOf(residents);
        tiers = Map.copyOf(tiers);
    }

    /**
     * Finds the model in a slot.
     *
     * @param slot the slot, not null
     * @return the model in the slot, or empty if there is none
     */
    public Optional<Resident> find(SlotId slot) {
        return residents.stream().filter(r -> r.slot().equals(slot)).findFirst();
    }

    /**
     * Returns where a model's checkpoint is cached.
     *
     * @param model the model's name, not null
     * @return the tier, {@link CheckpointTier#REMOTE} if the engine has no copy
     */
    public CheckpointTier tier(ModelName model) {
        return tiers.getOrDefault(model.value(), CheckpointTier.REMOTE);
    }

    /**
     * A model in the memory of an accelerator, or one that is being loaded.
     *
     * @param slot the slot for which the load was ordered, not null
     * @param model the model, not null
     * @param version the model's version, not null
     * @param bytes the accelerator memory that the model uses, in bytes
     * @param loaded whether the load is complete
     * @param inFlight the number of calls that the model runs
     * @param idleMillis the time since its last call ended, in milliseconds, 0 while calls run
     */
    public record Resident(
            SlotId slot, ModelName model, String version, long bytes, boolean loaded, int inFlight, long idleMillis) {}
}
