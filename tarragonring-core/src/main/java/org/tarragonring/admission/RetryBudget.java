package org.tarragonring.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a tenth of the accepted calls and a small reserve, so that retries cannot multiply load.
 *
 * @since 0.1.0
 */
public final class RetryBudget {

    private static final long TENTHS_PER_RETRY = 10;
    private static final long MAX_TENTHS = 100;

    private final AtomicLong tenths = new AtomicLong(MAX_TENTHS);

    /** Counts an accepted call, which earns a tenth of a retry. */
    public void accepted() {
        tenths.updateAndGet(t -> Math.min(MAX_TENTHS, t + 1));
    }

    /**
     * Takes one retry.
     *
     * @return true if the budget allows it
     */
    public boolean tryRetry() {
        return tenths.getAndUpdate(t -> t >= TENTHS_PER_RETRY ? t - TENTHS_PER_RETRY : t) >= TENTHS_PER_RETRY;
    }
}
