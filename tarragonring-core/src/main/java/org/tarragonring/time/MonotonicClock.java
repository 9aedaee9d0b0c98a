package org.tarragonring.time;

/**
 * A clock that never goes backwards and is not affected by adjustments of the wall clock.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface MonotonicClock {

    /** The number of nanoseconds in a millisecond. */
    long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Returns the system's monotonic clock.
     *
     * @return a clock that reads {@link System#nanoTime()}, never null
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }

    /**
     * Returns the current time, relative to an arbitrary origin. Only differences between two values are meaningful.
     *
     * @return the time in nanoseconds
     */
    long nanos();

    /**
     * Returns the current time in milliseconds, relative to the same origin.
     *
     * @return the time in milliseconds, rounded towards zero
     */
    default long millis() {
        return nanos() / NANOS_PER_MILLI;
    }
}
