package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * The decided number of replicas of a model, and the slots that they occupy.
 *
 * @param decidedReplicas the maximum number of replicas that may be loading or loaded
 * @param generation the configuration generation on which that decision is based
 * @param slots the slots of the replicas; one is added only while there are fewer than decided replicas; not null
 * @since 0.1.0
 */
public record ModelRecord(int decidedReplicas, long generation, List<Slot> slots) {

    /** Makes an immutable copy of the list. */
    public ModelRecord {
        slots = List.copyOf(slots);
    }

    /**
     * Returns a record without slots.
     *
     * @return the record
     */
    public static ModelRecord empty() {
        return new ModelRecord(0, 0, List.of());
    }

    /**
     * Finds a slot by id.
     *
     * @param id the slot's id, not null
     * @return the slot, or empty
     */
    public Optional<Slot> find(SlotId id) {
        return slots.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Checks whether a replica is placed on an upstream.
     *
     * @param upstream the upstream, not null
     * @return true if at least one slot is on the upstream
     */
    public boolean hasSlotOn(UpstreamId upstream) {
        return slots.stream().anyMatch(s -> s.upstream().equals(upstream));
    }

    /**
     * Returns a record with another number of decided replicas. The generation never decreases.
     *
     * @param replicas the maximum number of replicas that may be loading or loaded
     * @param configGeneration the configuration generation on which the decision is based
     * @return a new record with the same slots
     */
    public ModelRecord withDecidedReplicas(int replicas, long configGeneration) {
        return new ModelRecord(replicas, Math.max(generation, configGeneration), slots);
    }

    /**
     * Returns a record with a slot added.
     *
     * @param slot the slot, not null
     * @return a new record
     */
    public ModelRecord with(Slot slot) {
        List<Slot> newSlots = new ArrayList<>(slots);
        newSlots.add(slot);
        return new ModelRecord(decidedReplicas, generation, newSlots);
    }

    /**
     * Returns a record without a slot.
     *
     * @param id the slot's id, not null
     * @return this record if it has no such slot, else a new one
     */
    public ModelRecord without(SlotId id) {
        if (find(id).isEmpty()) {
            return this;
        }
        return new ModelRecord(
                decidedReplicas,
                generation,
                slots.stream().filter(s -> !s.id().equals(id)).toList());
    }
}
