package org.tarragonring.policy.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps the budget of repeats of each service and divides the allowance by a cautious count of the entries.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class RepeatBudgets {

    /** How long a process may need to hear of the other entries; joining and one exchange of members take less. */
    static final long SETTLE_MILLIS = 3_000;

    /** The least number of entries assumed until then; a restart of all entries makes each see itself alone. */
    static final int UNSETTLED_ENTRIES = 12;

    private final BudgetTerms terms;
    private final IntSupplier entriesSeen;
    private final MonotonicClock clock;
    private final long startMillis;
    private final Map<ServiceName, RepeatBudget> budgets = new HashMap<>();
    private int mostEntries = 1;
    private long mostEntriesMillis;

    /**
     * Creates budgets from which nothing was taken.
     *
     * @param terms the size of each service's budget, not null
     * @param entriesSeen tells how many entries seem to be alive, not null
     * @param clock the monotonic clock, not null
     */
    public RepeatBudgets(BudgetTerms terms, IntSupplier entriesSeen, MonotonicClock clock) {
        this.terms = Objects.requireNonNull(terms, "terms");
        this.entriesSeen = Objects.requireNonNull(entriesSeen, "entriesSeen");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.startMillis = clock.millis();
    }

    /**
     * Counts a call of a caller.
     *
     * @param service the service that the call is for, not null
     */
    public void onCall(ServiceName service) {
        of(service).onCall();
        entries();
    }

    /**
     * Checks if a repeat is left, without taking it.
     *
     * @param service the service, not null
     * @return true if a call of the service may be sent again now
     */
    public boolean hasRepeat(ServiceName service) {
        return of(service).hasRepeat(entries());
    }

    /**
     * Takes one repeat. To be called when the repeat is sent.
     *
     * @param service the service, not null
     * @return true if the budget had one left
     */
    public boolean tryRepeat(ServiceName service) {
        return of(service).tryRepeat(entries());
    }

    private RepeatBudget of(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> new RepeatBudget(terms, clock));
    }

    /** Returns the most entries seen in a window: those that this entry lost sight of may still repeat calls. */
    private int entries() {
        long now = clock.millis();
        int seen = Math.max(1, entriesSeen.getAsInt());
        if (seen >= mostEntries || now - mostEntriesMillis > terms.window().toMillis()) {
            mostEntries = seen;
            mostEntriesMillis = now;
        }
        return now - startMillis < SETTLE_MILLIS ? Math.max(mostEntries, UNSETTLED_ENTRIES) : mostEntries;
    }
}
