package org.tarragonring.objects;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.tarragonring.ids.EntryId;

/**
 * The weight store's permits in use.
 *
 * @param permits the permits, not null
 * @since 0.1.0
 */
public record PermitRecord(List<Permit> permits) {

    /** Copies the list. */
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
     * Returns a record without a purpose's permit and without those past their time.
     *
     * @param purpose what the permit was for, not null
     * @param nowMillis the wall clock in epoch milliseconds
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
     * Returns how many loads the permits allow.
     *
     * @return the sum of their counts
     */
    public int count() {
        return permits.stream().mapToInt(Permit::count).sum();
    }

    /**
     * One holder's permit.
     *
     * @param holder the entry, not null
     * @param purpose the slot that is loaded, or the holder itself for a block of adapter permits; not null
     * @param count how many loads it allows at once
     * @param expiresAtMillis when it lapses by the wall clock, in epoch milliseconds; a skewed clock costs store
     *     speed and nothing else
     */
    public record Permit(EntryId holder, String purpose, int count, long expiresAtMillis) {

        /** Checks the arguments. */
        public Permit {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(purpose, "purpose");
        }
    }
}
