package org.tarragonring.policy.lease;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Tells whether this entry may order replicas.
 *
 * <p>The monotonic clock stops while an instance is suspended, and the wall clock may be set. So the lease holds only
 * while neither clock has passed its end and both agree on how much time has gone by.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class OrderLease {

    /** How far the clocks may differ before the lease is given up; a suspension of less does no harm within the margin. */
    static final Duration MAX_CLOCK_DRIFT = Duration.ofMillis(100);

    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Duration validity;
    private boolean held;
    private long fence;
    private long grantedMonotonicMillis;
    private long grantedWallMillis;

    /**
     * Creates a lease that is not held.
     *
     * @param clock the monotonic clock, not null
     * @param wallClock the wall clock, not null
     * @param validity how long a renewal holds, not null
     */
    public OrderLease(MonotonicClock clock, InstantSource wallClock, Duration validity) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.validity = Objects.requireNonNull(validity, "validity");
    }

    /**
     * Notes the time at which a write that takes or renews the lease is sent.
     *
     * @return the time, to be passed to {@link #granted}
     */
    public SendTime sendTime() {
        return new SendTime(clock.millis(), wallClock.millis());
    }

    /**
     * Takes a confirmed write.
     *
     * @param sent when the write was sent, not null
     * @param newFence the fencing number that the write holds
     */
    public void granted(SendTime sent, long newFence) {
        held = true;
        fence = newFence;
        grantedMonotonicMillis = sent.monotonicMillis();
        grantedWallMillis = sent.wallMillis();
    }

    /** Gives the lease up. */
    public void lost() {
        held = false;
    }

    /**
     * Checks if an order may be sent now.
     *
     * @return true while the lease holds
     */
    public boolean isValid() {
        return remainingMillis() > 0;
    }

    /**
     * Returns how long the lease holds.
     *
     * @return milliseconds, 0 or less if it does not hold
     */
    public long remainingMillis() {
        if (!held) {
            return 0;
        }
        long monotonicMillis = clock.millis() - grantedMonotonicMillis;
        long wallMillis = wallClock.millis() - grantedWallMillis;
        if (Math.abs(monotonicMillis - wallMillis) > MAX_CLOCK_DRIFT.toMillis()) {
            return 0;
        }
        return validity.toMillis() - Math.max(monotonicMillis, wallMillis);
    }

    /**
     * Returns the fencing number that orders carry.
     *
     * @return the number of the last grant
     */
    public long fence() {
        return fence;
    }

    /**
     * When a write was sent, on both clocks.
     *
     * @param monotonicMillis the monotonic clock
     * @param wallMillis the wall clock
     */
    public record SendTime(long monotonicMillis, long wallMillis) {}
}
