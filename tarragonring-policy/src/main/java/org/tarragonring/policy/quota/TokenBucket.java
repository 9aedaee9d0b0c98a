package org.tarragonring.policy.quota;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * A token bucket that begins empty. What it has granted and not got back never exceeds what a bucket would have granted
 * that never granted the returned tokens: tokens are credited only as far as the bucket would not have overflowed.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class TokenBucket {

    /**
     * Tokens that are returned later than this after their grant are not credited. Nearly all calls that are refused end
     * within this time. A full bucket credits nothing for this long, so that 20 s made teams lose their refused calls' tokens.
     */
    public static final Duration MAX_RETURN_AGE = Duration.ofSeconds(5);

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int SLOTS = (int) MAX_RETURN_AGE.toSeconds() + 1;

    private final MonotonicClock clock;
    private final long createdMillis;
    /** The highest level in each of the last seconds. */
    private final double[] highest = new double[SLOTS];

    private final long[] slotSeconds = new long[SLOTS];
    private double ratePerSecond;
    private double capacity;
    private double level;
    private long filledMillis;

    /**
     * Creates an empty bucket that does not fill.
     *
     * @param clock the monotonic clock, not null
     */
    public TokenBucket(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.createdMillis = clock.millis();
        this.filledMillis = createdMillis;
        Arrays.fill(slotSeconds, Long.MIN_VALUE / 2);
    }

    /**
     * Sets the limit from now on. A level above the new capacity is cut at once.
     *
     * @param newRatePerSecond the tokens that are added in a second, 0 or more
     * @param newCapacity the number of tokens at which the bucket stops to fill, 0 or more
     */
    public void setLimit(double newRatePerSecond, double newCapacity) {
        fill();
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.min(level, newCapacity);
    }

    /**
     * Takes all wanted tokens or none.
     *
     * @param wanted the number of tokens, 0 or more
     * @param maxDebt the number of tokens that a bucket which is not empty may owe afterwards, 0 or more
     * @return true if the tokens were taken
     */
    public boolean tryTake(double wanted, double maxDebt) {
        fill();
        boolean taken = level >= wanted || level > 0 && level + maxDebt >= wanted;
        if (taken) {
            level -= wanted;
        }
        return taken;
    }

    /**
     * Returns the time after which {@link #tryTake} would succeed if nothing else was taken.
     *
     * @param wanted the number of tokens, 0 or more
     * @param maxDebt as for {@link #tryTake}
     * @return the time in milliseconds; very long if the bucket does not fill
     */
    public long millisUntil(double wanted, double maxDebt) {
        fill();
        double required = Math.max(Math.min(wanted, 1), wanted - maxDebt);
        double missing = Math.max(0, required - level);
        return (long) Math.min(
                Integer.MAX_VALUE, Math.ceil(missing / Math.max(ratePerSecond, Double.MIN_NORMAL) * MILLIS_PER_SECOND));
    }

    /**
     * Takes back tokens that were not used.
     *
     * @param returned the number of tokens, 0 or more
     * @return the number of tokens credited; less if the bucket would have overflowed without their grant, none while the
     *     bucket is younger than {@link #MAX_RETURN_AGE}, as it does not know what others have granted before
     */
    public double credit(double returned) {
        fill();
        if (filledMillis - createdMillis < MAX_RETURN_AGE.toMillis()) {
            return 0;
        }
        double credited = Math.max(0, Math.min(returned, capacity - recentHighest()));
        level += credited;
        for (int i = 0; i < SLOTS; i++) {
            highest[i] += credited;
        }
        return credited;
    }

    /** Fills the bucket at once. */
    public void fillUp() {
        fill();
        level = Math.min(capacity, level + capacity);
        recordLevel();
    }

    /**
     * Returns the level.
     *
     * @return the number of tokens, below 0 if the bucket owes tokens
     */
    public double level() {
        fill();
        return level;
    }

    private void fill() {
        long nowMillis = clock.millis();
        double added = (nowMillis - filledMillis) / MILLIS_PER_SECOND * ratePerSecond;
        level = Math.max(level, Math.min(capacity, level + added));
        filledMillis = nowMillis;
        recordLevel();
    }

    private void recordLevel() {
        long second = Math.floorDiv(filledMillis, (long) MILLIS_PER_SECOND);
        int slot = (int) Math.floorMod(second, (long) SLOTS);
        highest[slot] = slotSeconds[slot] == second ? Math.max(highest[slot], level) : level;
        slotSeconds[slot] = second;
    }

    private double recentHighest() {
        long second = Math.floorDiv(filledMillis, (long) MILLIS_PER_SECOND);
        double recent = level;
        for (int i = 0; i < SLOTS; i++) {
            if (second - slotSeconds[i] < SLOTS) {
                recent = Math.max(recent, highest[i]);
            }
        }
        return recent;
    }
}
