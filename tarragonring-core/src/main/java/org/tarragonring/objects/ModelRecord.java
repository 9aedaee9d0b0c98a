package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * How many replicas of a model were decided and where they are.
 *
 * @param decidedReplicas the most replicas that may be loading or loaded
 * @param generation the configuration generation under which that was decided
 * @param slots the placements, never more than decided when one is added; not null
 * @since 0.1.0
 */
public record ModelRecord(int decidedReplicas, long generation, List<Slot> slots) {

    /** Copies the list. */
    public ModelRecord {
        slots = List.copyOf(slots);
    }

    /**
     * Returns a record without placements.
     *
     * @return the record
     */
    public static ModelRecord empty() {
        return new ModelRecord(0, 0, List.of());
    }

    /**
     * Finds a slot.
     *
     * @param id the slot's id, not null
     * @return the slot, or empty
     */
    public Optional<Slot> find(SlotId id) {
        return slots.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Checks if a slot lies on an upstream.
     *
     * @param upstream the upstream, not null
     * @return true if one does
     */
    public boolean isOn(UpstreamId upstream) {
        return slots.stream().anyMatch(s -> s.upstream().equals(upstream));
    }

    /**
     * Returns a record with another decision.
     *
     * @param replicas the most replicas that may be loading or loaded
     * @param decidedUnder the configuration generation
     * @return a new record with the same slots
     */
    public ModelRecord decided(int replicas, long decidedUnder) {
        return new ModelRecord(replicas, Math.max(generation, decidedUnder), slots);
    }

    /**
     * Returns a record with a slot added.
     *
     * @param slot the slot, not null
     * @return a new record
     */
    public ModelRecord with(Slot slot) {
        List<Slot> next = new ArrayList<>(slots);
        next.add(slot);
        return new ModelRecord(decidedReplicas, generation, next);
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
