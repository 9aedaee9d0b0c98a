package org.tarragonring.policy.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Limits the rate at which loads from the weight store start, over a sliding window.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class StoreLoadBudget {

    private static final long WINDOW_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final MonotonicClock clock;
    private final Deque<Long> startMillis = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param clock the monotonic clock, not null
     */
    public StoreLoadBudget(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records that a load was planned, which starts at once. */
    public void recordLoad() {
        startMillis.addLast(clock.millis());
    }

    /**
     * Returns how many loads may start now.
     *
     * @param maxLoadsPerSecond the rate that the weight store allows
     * @return the number of loads, 0 or more; a store that allows fewer than one load in the window still gets one
     */
    public int remaining(double maxLoadsPerSecond) {
        while (!startMillis.isEmpty() && clock.millis() - startMillis.peekFirst() >= WINDOW_MILLIS) {
            startMillis.removeFirst();
        }
        int allowed = Math.max(1, (int) (maxLoadsPerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND));
        return Math.max(0, allowed - startMillis.size());
    }
}
