package org.tarragonring.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a tenth of the accepted calls plus a reserve of ten, so that retries cannot multiply the load. The
 * budget is kept in tenths of a retry and is full at the start. Thread-safe.
 *
 * @since 0.1.0
 */
public final class RetryBudget {

    private static final long TENTHS_PER_RETRY = 10;
    private static final long MAX_TENTHS = 100;

    private final AtomicLong tenths = new AtomicLong(MAX_TENTHS);

    /** Records an accepted call, which adds a tenth of a retry to the budget. */
    public void recordAcceptedCall() {
        tenths.updateAndGet(t -> Math.min(MAX_TENTHS, t + 1));
    }

    /**
     * Consumes one retry of the budget, if one is left.
     *
     * @return true if the retry is allowed, false if the budget is used up
     */
    public boolean tryAcquire() {
        return tenths.getAndUpdate(t -> t >= TENTHS_PER_RETRY ? t - TENTHS_PER_RETRY : t) >= TENTHS_PER_RETRY;
    }
}
