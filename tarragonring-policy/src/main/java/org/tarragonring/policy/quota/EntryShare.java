package org.tarragonring.policy.quota;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Estimates the part of the entries that this entry reaches, so that the two sides of a partition share a limit.
 *
 * <p>Counts as registered the highest number of entries that were listed in the store or alive within the last five to ten
 * minutes. Entries that are gone for good count no more after that; on both sides of a partition that lasts longer, the
 * whole limit is granted.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class EntryShare {

    /** The number of entries of at least this time, and of twice this time at most, is kept. */
    private static final Duration PERIOD = Duration.ofMinutes(5);

    private final MonotonicClock clock;
    private long periodStartMillis;
    private int highest;
    private int highestBefore;
    private int alive;
    private boolean listed;

    /**
     * Creates an instance that knows no entries.
     *
     * @param clock the monotonic clock, not null
     */
    public EntryShare(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.periodStartMillis = clock.millis();
    }

    /**
     * Records the number of entries that are registered in the store.
     *
     * @param count the number of entries, this one included
     */
    public void onListed(int count) {
        listed = true;
        observe(count);
    }

    /**
     * Records the number of entries that this entry considers alive.
     *
     * @param count the number of entries, this one included
     */
    public void onAlive(int count) {
        alive = count;
        observe(count);
    }

    /**
     * Returns the estimated number of registered entries.
     *
     * @return the number, at least 1
     */
    public int registered() {
        observe(alive);
        return Math.max(1, Math.max(highest, highestBefore));
    }

    /**
     * Returns the part of the limits that the entries which this one reaches may grant.
     *
     * @return the part from 0 to 1; 0 as long as the registered entries are not known
     */
    public double share() {
        return listed ? (double) alive / registered() : 0;
    }

    private void observe(int count) {
        long elapsedMillis = clock.millis() - periodStartMillis;
        if (elapsedMillis >= PERIOD.toMillis()) {
            highestBefore = elapsedMillis < 2 * PERIOD.toMillis() ? highest : alive;
            highest = 0;
            periodStartMillis = clock.millis();
        }
        highest = Math.max(highest, count);
    }
}
