package org.tarragonring.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * A manually advanced clock for tests, with timers that run on the thread that advances it. This class is not
 * thread-safe.
 *
 * @since 0.1.0
 */
public final class VirtualTime implements Timers, MonotonicClock, InstantSource {

    private static final Instant START_TIME = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong((ScheduledAction s) -> s.dueNanos).thenComparingLong(s -> s.sequence));
    private long nowNanos;
    private long nextSequence;

    @Override
    public Task schedule(Duration delay, Runnable action) {
        ScheduledAction scheduled =
                new ScheduledAction(nowNanos + Math.max(0, delay.toNanos()), nextSequence++, action);
        queue.add(scheduled);
        return () -> queue.remove(scheduled);
    }

    @Override
    public long nanos() {
        return nowNanos;
    }

    @Override
    public long millis() {
        return nowNanos / NANOS_PER_MILLI;
    }

    @Override
    public Instant instant() {
        return START_TIME.plusNanos(nowNanos);
    }

    /**
     * Advances the clock and runs the timers that become due, ordered by due time; timers due at the same time run in
     * the order in which they were scheduled.
     *
     * @param duration the time by which to advance, not null
     */
    public void advance(Duration duration) {
        long untilNanos = nowNanos + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().dueNanos <= untilNanos) {
            runNextTimer();
        }
        nowNanos = untilNanos;
    }

    /**
     * Advances the clock to the next timer and runs it.
     *
     * @return false if no timer is scheduled
     */
    public boolean runNextTimer() {
        ScheduledAction next = queue.poll();
        if (next == null) {
            return false;
        }
        nowNanos = Math.max(nowNanos, next.dueNanos);
        next.action.run();
        return true;
    }

    /**
     * Returns a wall clock that differs from this clock by a constant.
     *
     * @param skew the time that the returned clock is ahead of this clock, not null; negative if it is behind
     * @return the clock, never null
     */
    public InstantSource skewedWallClock(Duration skew) {
        return () -> instant().plus(skew);
    }

    private record ScheduledAction(long dueNanos, long sequence, Runnable action) {}
}
