package org.tarragonring.policy.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Limits the retries of one service to this entry's share of a budget that all entries share.
 *
 * <p>The share is a fraction of this entry's calls in a sliding window, plus an allowance that is divided by the number
 * of entries. A process uses at most half of its part of the allowance, since the process that it replaced on the same
 * node may have used the other half in the same window.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ServiceRetryBudget {

    /** The number of processes that a node may run in one window: the current one and the one that it replaced. */
    private static final int PROCESSES_IN_WINDOW = 2;

    private final RetryBudgetSettings settings;
    private final MonotonicClock clock;
    private final Deque<Long> callMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param settings the size of the shared budget, not null
     * @param clock the monotonic clock, not null
     */
    public ServiceRetryBudget(RetryBudgetSettings settings, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records a call, which increases the budget. Must not be used for retries. */
    public void onCall() {
        long now = clock.millis();
        callMillis.addLast(now);
        removeExpired(callMillis, now);
    }

    /**
     * Checks if the budget allows a retry, without using it.
     *
     * @param entries the number of entries that share the allowance, 1 or more
     * @return true if a retry is allowed
     */
    public boolean canRetry(int entries) {
        long now = clock.millis();
        removeExpired(callMillis, now);
        removeExpired(retryMillis, now);
        double share = settings.allowance() / PROCESSES_IN_WINDOW / entries;
        return retryMillis.size() + 1 <= settings.ratio() * callMillis.size() + share;
    }

    /**
     * Uses one retry if the budget allows it. Must be called when the retry is sent, since it counts towards the window
     * in which it reaches the service.
     *
     * @param entries the number of entries that share the allowance, 1 or more
     * @return true if the retry is allowed
     */
    public boolean tryRetry(int entries) {
        if (!canRetry(entries)) {
            return false;
        }
        retryMillis.addLast(clock.millis());
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty()
                && nowMillis - times.peekFirst() > settings.window().toMillis()) {
            times.removeFirst();
        }
    }
}
