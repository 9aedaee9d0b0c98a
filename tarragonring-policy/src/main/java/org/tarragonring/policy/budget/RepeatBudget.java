package org.tarragonring.policy.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Bounds how often the calls of one service are sent again, as this entry's part of a budget that all entries share.
 *
 * <p>The budget is a share of the calls in a sliding window, plus an allowance that is divided by the number of entries.
 * A process uses half of its part of the allowance at most: its predecessor on the same node may have used as much in the
 * same window.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class RepeatBudget {

    /** The processes that one node may run in a window: the present one and the one that it replaced. */
    private static final int PROCESSES_IN_WINDOW = 2;

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
        this.terms = Objects.requireNonNull(terms, "terms");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Counts a call of a caller. */
    public void onCall() {
        long now = clock.millis();
        callMillis.addLast(now);
        forget(callMillis, now);
    }

    /**
     * Checks if a repeat is left, without taking it.
     *
     * @param entries the number of entries that share the allowance, 1 or more
     * @return true if the budget has one left
     */
    public boolean hasRepeat(int entries) {
        long now = clock.millis();
        forget(callMillis, now);
        forget(repeatMillis, now);
        double share = (double) terms.allowance() / PROCESSES_IN_WINDOW / entries;
        return repeatMillis.size() + 1 <= terms.ratio() * callMillis.size() + share;
    }

    /**
     * Takes one repeat. To be called when the repeat is sent, since the window in which it arrives counts.
     *
     * @param entries the number of entries that share the allowance, 1 or more
     * @return true if the budget had one left
     */
    public boolean tryRepeat(int entries) {
        if (!hasRepeat(entries)) {
            return false;
        }
        repeatMillis.addLast(clock.millis());
        return true;
    }

    private void forget(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > terms.window().toMillis()) {
            times.removeFirst();
        }
    }
}
