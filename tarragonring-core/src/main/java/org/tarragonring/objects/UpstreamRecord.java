package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.tarragonring.ids.SlotId;

/**
 * The memory reservations on one upstream.
 *
 * @param acceleratorBytes the accelerator memory in bytes, 0 if not known yet
 * @param fence the fencing token of the latest change that leads to an order; it never decreases
 * @param reservations the reservations, not null
 * @since 0.1.0
 */
public record UpstreamRecord(long acceleratorBytes, long fence, List<Reservation> reservations) {

    /** Makes an immutable copy of the list. */
    public UpstreamRecord {
        reservations = List.copyOf(reservations);
    }

    /**
     * Returns a record without reservations.
     *
     * @return the record
     */
    public static UpstreamRecord empty() {
        return new UpstreamRecord(0, 0, List.of());
    }

    /**
     * Returns the sum of the reserved memory of all reservations.
     *
     * @return the size in bytes, 0 or more
     */
    @JsonIgnore
    public long reservedBytes() {
        return reservations.stream().mapToLong(Reservation::bytes).sum();
    }

    /**
     * Returns the memory available for another reservation.
     *
     * @return the size in bytes; negative if the engine holds an unexpected model that exceeds the free memory
     */
    @JsonIgnore
    public long freeBytes() {
        return acceleratorBytes - reservedBytes();
    }

    /**
     * Finds the reservation of a slot.
     *
     * @param slot the slot, not null
     * @return the reservation, or empty
     */
    public Optional<Reservation> find(SlotId slot) {
        return reservations.stream().filter(r -> r.slot().equals(slot)).findFirst();
    }

    /**
     * Returns a record with a reservation added or replaced.
     *
     * @param reservation the reservation, not null
     * @param incrementsFence whether the change leads to an order and therefore needs a new fencing token
     * @return a new record
     */
    public UpstreamRecord with(Reservation reservation, boolean incrementsFence) {
        List<Reservation> newReservations = new ArrayList<>(without(reservation.slot()).reservations);
        newReservations.add(reservation);
        return new UpstreamRecord(acceleratorBytes, incrementsFence ? fence + 1 : fence, newReservations);
    }

    /**
     * Returns a record without a slot's reservation.
     *
     * @param slot the slot, not null
     * @return a new record
     */
    public UpstreamRecord without(SlotId slot) {
        List<Reservation> newReservations =
                reservations.stream().filter(r -> !r.slot().equals(slot)).toList();
        return new UpstreamRecord(acceleratorBytes, fence, newReservations);
    }

    /**
     * Returns a record with another amount of accelerator memory.
     *
     * @param bytes the accelerator memory in bytes
     * @return a new record
     */
    public UpstreamRecord withAcceleratorBytes(long bytes) {
        return new UpstreamRecord(bytes, fence, reservations);
    }
}
