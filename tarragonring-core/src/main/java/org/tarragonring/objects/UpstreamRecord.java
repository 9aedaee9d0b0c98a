package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.tarragonring.ids.SlotId;

/**
 * What is reserved on one upstream.
 *
 * @param acceleratorBytes the accelerator's memory, 0 while unknown
 * @param fence the fencing number of the latest change that leads to an order; it never falls
 * @param reservations the reservations, not null
 * @since 0.1.0
 */
public record UpstreamRecord(long acceleratorBytes, long fence, List<Reservation> reservations) {

    /** Copies the list and checks that the memory is not overcommitted by decisions. */
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
     * Returns the bytes that all reservations take.
     *
     * @return bytes, 0 or more
     */
    @JsonIgnore
    public long reservedBytes() {
        return reservations.stream().mapToLong(Reservation::bytes).sum();
    }

    /**
     * Returns the bytes left for another reservation.
     *
     * @return bytes; negative if an unknown resident took more than was free
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
     * @param raisesFence whether the change leads to an order
     * @return a new record
     */
    public UpstreamRecord with(Reservation reservation, boolean raisesFence) {
        List<Reservation> next = new ArrayList<>(without(reservation.slot()).reservations);
        next.add(reservation);
        return new UpstreamRecord(acceleratorBytes, raisesFence ? fence + 1 : fence, next);
    }

    /**
     * Returns a record without a slot's reservation.
     *
     * @param slot the slot, not null
     * @return a new record
     */
    public UpstreamRecord without(SlotId slot) {
        List<Reservation> next =
                reservations.stream().filter(r -> !r.slot().equals(slot)).toList();
        return new UpstreamRecord(acceleratorBytes, fence, next);
    }

    /**
     * Returns a record with another accelerator size.
     *
     * @param bytes the accelerator's memory
     * @return a new record
     */
    public UpstreamRecord withAcceleratorBytes(long bytes) {
        return new UpstreamRecord(bytes, fence, reservations);
    }
}
