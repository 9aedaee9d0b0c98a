package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * Accelerator memory reserved on an upstream for one slot of a model.
 *
 * @param slot the slot, not null
 * @param model the model, not null
 * @param version the model's version, not null
 * @param bytes the reserved memory in bytes, including the adapter pool; 0 or more
 * @param state the progress of the load or unload, not null
 * @param holder the entry that is responsible for the next step, not null
 * @param holderEpoch the lease epoch of the holder
 * @since 0.1.0
 */
public record Reservation(
        SlotId slot,
        ModelName model,
        String version,
        long bytes,
        ReservationState state,
        EntryId holder,
        long holderEpoch) {

    /** Rejects null components and a negative size. */
    public Reservation {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(holder, "holder");
        if (bytes < 0) {
            throw new IllegalArgumentException(
                    "reserved bytes of slot \"%s\" must not be negative: %d".formatted(slot, bytes));
        }
    }

    /**
     * Returns a copy of this reservation with another state and holder.
     *
     * @param newState the new state, not null
     * @param newHolder the entry that is responsible from now on, not null
     * @param newHolderEpoch the lease epoch of the new holder
     * @return a new reservation for the same slot
     */
    public Reservation withState(ReservationState newState, EntryId newHolder, long newHolderEpoch) {
        return new Reservation(slot, model, version, bytes, newState, newHolder, newHolderEpoch);
    }

    /**
     * Checks whether an entry holds this reservation under its current lease.
     *
     * @param entry the entry, may be null
     * @param epoch the lease epoch of the entry
     * @return true if both the holder and its epoch match
     */
    public boolean isHeldBy(EntryId entry, long epoch) {
        return holder.equals(entry) && holderEpoch == epoch;
    }
}
