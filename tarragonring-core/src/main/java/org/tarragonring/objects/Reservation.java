package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * Accelerator memory set aside on an upstream for one placement of a model.
 *
 * @param slot the placement, not null
 * @param model the model, not null
 * @param version the model's version, not null
 * @param bytes the memory set aside, the adapter pool included
 * @param state how far the placement has come, not null
 * @param holder the entry that acts on it, not null
 * @param holderEpoch the holder's lease epoch
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

    /** Checks the arguments. */
    public Reservation {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(holder, "holder");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes of slot \"%s\" are negative: %d".formatted(slot, bytes));
        }
    }

    /**
     * Returns this reservation in another state under another holder.
     *
     * @param newState the state, not null
     * @param newHolder the entry that acts on it from now on, not null
     * @param newHolderEpoch that entry's lease epoch
     * @return a new reservation for the same slot
     */
    public Reservation moved(ReservationState newState, EntryId newHolder, long newHolderEpoch) {
        return new Reservation(slot, model, version, bytes, newState, newHolder, newHolderEpoch);
    }

    /**
     * Checks if an entry holds this reservation.
     *
     * @param entry the entry, may be null
     * @param epoch its lease epoch
     * @return true if both match
     */
    public boolean heldBy(EntryId entry, long epoch) {
        return holder.equals(entry) && holderEpoch == epoch;
    }
}
