package org.tarragonring.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * A clock that is moved by hand, with timers that run on the calling thread as it moves. Not safe for use by
 * several threads.
 *
 * @since 0.1.0
 */
public final class VirtualTime implements Timers, MonotonicClock, InstantSource {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>(
            Comparator.comparingLong((Scheduled s) -> s.atNanos).thenComparingLong(s -> s.sequence));
    private long nowNanos;
    private long nextSequence;

    @Override
    public Task schedule(Duration delay, Runnable action) {
        Scheduled scheduled = new Scheduled(nowNanos + Math.max(0, delay.toNanos()), nextSequence++, action);
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
        return START.plusNanos(nowNanos);
    }

    /**
     * Moves the clock and runs every timer that falls due, in order.
     *
     * @param duration how far, not null
     */
    public void advance(Duration duration) {
        long untilNanos = nowNanos + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().atNanos <= untilNanos) {
            step();
        }
        nowNanos = untilNanos;
    }

    /**
     * Runs the next timer, moving the clock to it.
     *
     * @return false if no timer waits
     */
    public boolean step() {
        Scheduled next = queue.poll();
        if (next == null) {
            return false;
        }
        nowNanos = Math.max(nowNanos, next.atNanos);
        next.action.run();
        return true;
    }

    /**
     * Returns a wall clock that shows this time with a constant error.
     *
     * @param skew the error, not null
     * @return the clock
     */
    public InstantSource skewed(Duration skew) {
        return () -> instant().plus(skew);
    }

    private record Scheduled(long atNanos, long sequence, Runnable action) {}
}
