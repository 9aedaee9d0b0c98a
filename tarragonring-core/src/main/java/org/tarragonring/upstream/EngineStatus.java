package org.tarragonring.upstream;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * An engine's report of itself.
 *
 * @param incarnation changes whenever the engine restarts empty, not null
 * @param acceleratorBytes the accelerator's memory
 * @param honoursFence whether the engine refuses orders with an old fencing number
 * @param residents what the accelerator holds, loads in progress included; not null
 * @param tiers where checkpoints are cached by model; a model not listed is remote; not null
 * @param inFlight the calls that the engine runs or queues, with a lag
 * @param leaving whether the engine is about to go and refuses new work
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

    /** Copies the collections. */
    public EngineStatus {
        Objects.requireNonNull(incarnation, "incarnation");
        residents = List.copyOf(residents);
        tiers = Map.copyOf(tiers);
    }

    /**
     * Finds what the accelerator holds for a slot.
     *
     * @param slot the slot, not null
     * @return the resident, or empty
     */
    public Optional<Resident> find(SlotId slot) {
        return residents.stream().filter(r -> r.slot().equals(slot)).findFirst();
    }

    /**
     * Returns where a model's checkpoint is cached.
     *
     * @param model the model, not null
     * @return the tier, {@link CheckpointTier#REMOTE} if the engine has no copy
     */
    public CheckpointTier tier(ModelName model) {
        return tiers.getOrDefault(model.value(), CheckpointTier.REMOTE);
    }

    /**
     * Something that an accelerator holds.
     *
     * @param slot the placement it was ordered under, not null
     * @param model the model, not null
     * @param version the model's version, not null
     * @param bytes the memory it takes
     * @param loaded whether the load is complete
     * @param inFlight the calls that run on it
     * @param idleMillis how long it has run no call, 0 while it does
     */
    public record Resident(
            SlotId slot, ModelName model, String version, long bytes, boolean loaded, int inFlight, long idleMillis) {}
}
