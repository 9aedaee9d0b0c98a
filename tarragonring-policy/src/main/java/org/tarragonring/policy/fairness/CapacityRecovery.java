package org.tarragonring.policy.fairness;

import java.util.Objects;
import java.util.OptionalLong;

import org.tarragonring.time.MonotonicClock;

/**
 * Estimates from what was observed when there will be capacity again for calls of one kind, and how long the refused ones take.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class CapacityRecovery {

    /** The weight of the newest wait in the mean. */
    private static final double NEWEST_WEIGHT = 0.3;

    /**
     * How long an observed wait counts, and the window of the refused and the served calls. Calls that are refused at once
     * because of the estimate observe nothing, so that it has to end by itself.
     */
    static final long WINDOW_MILLIS = 4_000;

    /** The interval of the refused calls as long as none of them was served. */
    private static final long DEFAULT_INTERVAL_MILLIS = 1_000;

    private static final long MIN_INTERVAL_MILLIS = 250;

    /** Callers have up to 17 s, of which they wait a third. */
    private static final long MAX_INTERVAL_MILLIS = 5_000;

    private final MonotonicClock clock;
    private final SlidingSum refused;
    private final SlidingSum served;
    private double meanMillis;
    private boolean observed;
    private long lastObservationMillis;

    /**
     * Creates an instance that has observed nothing.
     *
     * @param clock the monotonic clock, not null
     */
    public CapacityRecovery(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.refused = new SlidingSum(clock, WINDOW_MILLIS);
        this.served = new SlidingSum(clock, WINDOW_MILLIS);
    }

    /** Records that there is no capacity for a call. */
    public void onRefused() {
        refused.add(1);
    }

    /** Records that a replica has begun to respond to a call that did not wait. */
    public void onServed() {
        served.add(1);
    }

    /**
     * Records that a replica has begun to respond to a call that had waited for capacity.
     *
     * @param waitedMillis the time that the call had waited in milliseconds
     */
    public void onServedAfter(long waitedMillis) {
        onServed();
        observe(waitedMillis);
    }

    /**
     * Records that a call has waited in vain. It counts if it shows that calls wait longer than expected.
     *
     * @param waitedMillis the time that the call had waited in milliseconds
     */
    public void onGivenUpAfter(long waitedMillis) {
        if (waitedMillis > expectedWaitMillis().orElse(0)) {
            observe(waitedMillis);
        }
    }

    private void observe(long waitedMillis) {
        boolean isMeanValid = expectedWaitMillis().isPresent();
        meanMillis = isMeanValid ? meanMillis + NEWEST_WEIGHT * (waitedMillis - meanMillis) : waitedMillis;
        observed = true;
        lastObservationMillis = clock.millis();
    }

    /**
     * Returns how long a call is expected to wait for capacity from the time at which it finds none.
     *
     * @return the time in milliseconds, empty if no wait was observed within the last {@value #WINDOW_MILLIS} ms
     */
    public OptionalLong expectedWaitMillis() {
        return observed && clock.millis() - lastObservationMillis <= WINDOW_MILLIS
                ? OptionalLong.of((long) meanMillis)
                : OptionalLong.empty();
    }

    /**
     * Returns the time within which the calls that were refused lately can be served, at the rate at which calls were served.
     *
     * @return the time in milliseconds
     */
    public long intervalMillis() {
        double servedCalls = served.sum();
        if (servedCalls == 0) {
            return DEFAULT_INTERVAL_MILLIS;
        }
        double millis = refused.sum() / servedCalls * WINDOW_MILLIS;
        return (long) Math.max(MIN_INTERVAL_MILLIS, Math.min(MAX_INTERVAL_MILLIS, millis));
    }
}
