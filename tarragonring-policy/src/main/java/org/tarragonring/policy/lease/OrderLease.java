package org.tarragonring.policy.lease;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * The local view of a lease that entitles this entry to send orders to replicas.
 *
 * <p>The monotonic clock stops while an instance is suspended, and the wall clock may be adjusted. Therefore the lease
 * is valid only while it has expired on neither clock and both clocks agree on the time elapsed since the grant.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class OrderLease {

    /**
     * The maximum difference between the elapsed times of both clocks. A shorter suspension of the instance is covered
     * by the safety margin before the expiry.
     */
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
     * @param validity how long a grant or renewal is valid, counted from the sending of the write; not null
     */
    public OrderLease(MonotonicClock clock, InstantSource wallClock, Duration validity) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.validity = Objects.requireNonNull(validity, "validity");
    }

    /**
     * Returns the current time on both clocks. Must be called just before sending a write that acquires or renews the
     * lease, so that the validity counts from before the write takes effect.
     *
     * @return the send time to pass to {@link #onGranted}, never null
     */
    public SendTime sendTime() {
        return new SendTime(clock.millis(), wallClock.millis());
    }

    /**
     * Records that the store confirmed a write that acquires or renews the lease.
     *
     * @param sent the time at which the write was sent, not null
     * @param newFence the fencing token in the write
     */
    public void onGranted(SendTime sent, long newFence) {
        held = true;
        fence = newFence;
        grantedMonotonicMillis = sent.monotonicMillis();
        grantedWallMillis = sent.wallMillis();
    }

    /** Marks the lease as no longer held. */
    public void onLost() {
        held = false;
    }

    /**
     * Checks if the lease is valid, so that an order may be sent now.
     *
     * @return true if the lease is held and has not expired
     */
    public boolean isValid() {
        return remainingMillis() > 0;
    }

    /**
     * Returns the remaining validity of the lease.
     *
     * @return the time in milliseconds, 0 or less if the lease is not valid
     */
    public long remainingMillis() {
        if (!held) {
            return 0;
        }
        long elapsedMonotonicMillis = clock.millis() - grantedMonotonicMillis;
        long elapsedWallMillis = wallClock.millis() - grantedWallMillis;
        if (Math.abs(elapsedMonotonicMillis - elapsedWallMillis) > MAX_CLOCK_DRIFT.toMillis()) {
            return 0;
        }
        return validity.toMillis() - Math.max(elapsedMonotonicMillis, elapsedWallMillis);
    }

    /**
     * Returns the fencing token that orders must carry, so that replicas can reject orders of earlier lease holders.
     *
     * @return the token of the latest grant, 0 before the first one
     */
    public long fence() {
        return fence;
    }

    /**
     * The time at which a write was sent, on both clocks.
     *
     * @param monotonicMillis the time on the monotonic clock
     * @param wallMillis the time on the wall clock, in Unix milliseconds
     */
    public record SendTime(long monotonicMillis, long wallMillis) {}
}
