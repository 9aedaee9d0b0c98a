package org.tarragonring.policy.budget;

import java.util.ArrayDeque;
import java.util.Deque;

import org.tarragonring.time.MonotonicClock;

/**
 * Bounds how often the calls of one service are sent again, as this entry's part of a budget that all entries share.
 *
 * <p>The budget is a share of the calls in a sliding window, plus an allowance that is divided by the number of entries.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class RepeatBudget {

    private final BudgetTerms terms;
    private final MonotonicClock clock;
    private final Deque<Long> callMillis = new ArrayDeque<>();
    private final Deque<Long> repeatMillis = new ArrayDeque<>();

    /**
     * Creates a budget from which nothing was taken.
     *
     * @param terms the size of the budget, not null
     * @param clock the monotonic clock, not null
     */
    public RepeatBudget(BudgetTerms terms, MonotonicClock clock) {
        this.terms = terms;
        this.clock = clock;
    }

    /** Counts a call of a caller. */
    public void onCall() {
        long now = clock.millis();
        callMillis.addLast(now);
        forget(callMillis, now);
    }

    /**
     * Takes one repeat.
     *
     * @param entries the number of entries that share the allowance, 1 or more
     * @return true if the budget has one left
     */
    public boolean tryRepeat(int entries) {
        long now = clock.millis();
        forget(callMillis, now);
        forget(repeatMillis, now);
        double allowed = terms.ratio() * callMillis.size() + terms.allowance() / (double) entries;
        if (repeatMillis.size() + 1 > allowed) {
            return false;
        }
        repeatMillis.addLast(now);
        return true;
    }

    private void forget(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > terms.window().toMillis()) {
            times.removeFirst();
        }
    }
}
