package org.tarragonring.gateway.forward;

/**
 * Bounds the memory that the bodies of all calls take up together: request bodies, and responses that are kept until they
 * are complete. Without a bound, many large bodies at once would use up the heap, and the process would serve no caller.
 *
 * <p>Not thread-safe.
 */
final class MemoryBudget {

    /** A body counts as large from this part of the budget on. */
    private static final int LARGE_DIVISOR = 64;

    /** The part of the budget that large bodies leave to the small ones of most calls. */
    private static final int SMALL_BODIES_DIVISOR = 8;

    private final long limitBytes;
    private long usedBytes;

    /**
     * Creates a budget.
     *
     * @param limitBytes the bytes that all reservations may hold together, 0 or more
     */
    MemoryBudget(long limitBytes) {
        if (limitBytes < 0) {
            throw new IllegalArgumentException("limitBytes must be 0 or more, but is %d".formatted(limitBytes));
        }
        this.limitBytes = limitBytes;
    }

    /** Returns the bytes of all reservations. */
    long usedBytes() {
        return usedBytes;
    }

    /** Creates a reservation that holds nothing yet. */
    Reservation reserve() {
        return new Reservation();
    }

    /** The part of the budget that one body takes up. */
    final class Reservation {

        private long bytes;

        private Reservation() {}

        /** Returns the size. */
        long bytes() {
            return bytes;
        }

        /**
         * Changes the size.
         *
         * @param newBytes the new size; a smaller one is always granted
         * @return false if the budget does not allow it, and nothing has changed
         */
        boolean resize(long newBytes) {
            boolean isLarge = newBytes > limitBytes / LARGE_DIVISOR;
            long availableBytes = isLarge ? limitBytes - limitBytes / SMALL_BODIES_DIVISOR : limitBytes;
            if (newBytes > bytes && usedBytes - bytes + newBytes > availableBytes) {
                return false;
            }
            retain(newBytes);
            return true;
        }

        /**
         * Changes the size also if the budget does not allow it, for what is kept anyway. Until it is given back, others get
         * less.
         *
         * @param newBytes the new size
         */
        void retain(long newBytes) {
            usedBytes += newBytes - bytes;
            bytes = newBytes;
        }

        /** Gives everything back. */
        void release() {
            resize(0);
        }
    }
}
