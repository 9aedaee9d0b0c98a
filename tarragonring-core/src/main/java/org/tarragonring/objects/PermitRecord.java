package org.tarragonring.objects;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.tarragonring.ids.EntryId;

/**
 * The permits in use that limit parallel loads from the weight store.
 *
 * @param permits the permits, not null
 * @since 0.1.0
 */
public record PermitRecord(List<Permit> permits) {

    /** Makes an immutable copy of the list. */
    public PermitRecord {
        permits = List.copyOf(permits);
    }

    /**
     * Returns a record without permits.
     *
     * @return the record
     */
    public static PermitRecord empty() {
        return new PermitRecord(List.of());
    }

    /**
     * Returns a record without the permit of a purpose and without expired permits.
     *
     * @param purpose the purpose of the permit, not null
     * @param nowMillis the wall-clock time in epoch milliseconds
     * @return a new record
     */
    public PermitRecord without(String purpose, long nowMillis) {
        return new PermitRecord(permits.stream()
                .filter(p -> !p.purpose().equals(purpose) && p.expiresAtMillis() > nowMillis)
                .toList());
    }

    /**
     * Returns a record with a permit added.
     *
     * @param permit the permit, not null
     * @return a new record
     */
    public PermitRecord with(Permit permit) {
        return new PermitRecord(
                Stream.concat(permits.stream(), Stream.of(permit)).toList());
    }

    /**
     * Returns the number of parallel loads that the permits allow.
     *
     * @return the sum of the permits' counts
     */
    public int count() {
        return permits.stream().mapToInt(Permit::count).sum();
    }

    /**
     * A permit for one or more parallel loads.
     *
     * @param holder the entry that holds the permit, not null
     * @param purpose the id of the slot that is loaded, or the holder's id for a block of adapter permits; not null
     * @param count the number of parallel loads that the permit allows
     * @param expiresAtMillis the wall-clock time at which the permit expires, in epoch milliseconds; clock skew
     *     only affects load speed, not correctness
     */
    public record Permit(EntryId holder, String purpose, int count, long expiresAtMillis) {

        /** Rejects null components. */
        public Permit {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(purpose, "purpose");
        }
    }
}
