package org.tarragonring.objects;

/**
 * The number of times that the store came back from an older copy of its data. What was written in an earlier era may be
 * lost, and revisions are given out again.
 *
 * @param number the number of the era, 0 or more; 0 if the store does not tell its era
 * @since 0.2.0
 */
public record StoreEra(long number) implements Comparable<StoreEra> {

    /** The era of a store that does not tell its era. */
    public static final StoreEra NONE = new StoreEra(0);

    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public StoreEra {
        if (number < 0) {
            throw new IllegalArgumentException("number must be 0 or more, but is " + number);
        }
    }

    /**
     * Checks whether this era began after another one.
     *
     * @param other the other era, not null
     * @return true if this era is later, false if it is the same or an earlier one
     */
    public boolean isAfter(StoreEra other) {
        return number > other.number;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
