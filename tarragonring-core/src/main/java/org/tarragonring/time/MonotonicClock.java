package org.tarragonring.time;

/**
 * Reads a clock that never goes back and keeps counting while the wall clock is adjusted.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface MonotonicClock {

    /** The number of nanoseconds in a millisecond. */
    long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Returns the clock of the running machine.
     *
     * @return a clock over {@link System#nanoTime()}, never null
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }

    /**
     * Returns the current reading; only differences between readings mean anything.
     *
     * @return the reading in nanoseconds
     */
    long nanos();

    /**
     * Returns the current reading in milliseconds.
     *
     * @return the reading in milliseconds, rounded down
     */
    default long millis() {
        return nanos() / NANOS_PER_MILLI;
    }
}
