package org.tarragonring.entry;

import java.time.InstantSource;

import org.tarragonring.time.MonotonicClock;

/**
 * The clocks of an entry.
 *
 * @param wall the wall clock, not null
 * @param monotonic the monotonic clock, not null
 * @since 0.1.0
 */
public record Clocks(InstantSource wall, MonotonicClock monotonic) {

    /**
     * Returns the system clocks.
     *
     * @return the clocks, never null
     */
    public static Clocks system() {
        return new Clocks(InstantSource.system(), MonotonicClock.system());
    }
}
