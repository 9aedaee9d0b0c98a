package org.tarragonring.policy.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps the retry budget of each service. Divides the allowance by an upper estimate of the number of entries, so that
 * all entries together stay within it.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class RetryBudgets {

    /** The time in which a new process learns of all entries; joining and one membership exchange take less. */
    static final long MEMBERSHIP_SETTLE_MILLIS = 3_000;

    /** The minimum entry count assumed in that time, since after a restart of all entries each sees only itself. */
    static final int MIN_ENTRIES_DURING_STARTUP = 12;

    private final RetryBudgetSettings settings;
    private final IntSupplier entriesSeen;
    private final MonotonicClock clock;
    private final long startMillis;
    private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
    private int mostEntries = 1;
    private long mostEntriesMillis;

    /**
     * Creates unused budgets.
     *
     * @param settings the size of each service's shared budget, not null
     * @param entriesSeen returns the number of entries considered alive, not null
     * @param clock the monotonic clock, not null
     */
    public RetryBudgets(RetryBudgetSettings settings, IntSupplier entriesSeen, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.entriesSeen = Objects.requireNonNull(entriesSeen, "entriesSeen");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.startMillis = clock.millis();
    }

    /**
     * Records a call, which increases the budget of its service. Must not be used for retries.
     *
     * @param service the called service, not null
     */
    public void onCall(ServiceName service) {
        budgetFor(service).onCall();
        countEntries();
    }

    /**
     * Checks if the budget of a service allows a retry, without using it.
     *
     * @param service the service, not null
     * @return true if a retry is allowed now
     */
    public boolean canRetry(ServiceName service) {
        return budgetFor(service).canRetry(countEntries());
    }

    /**
     * Uses one retry if the budget of a service allows it. Must be called when the retry is sent.
     *
     * @param service the service, not null
     * @return true if the retry is allowed
     */
    public boolean tryRetry(ServiceName service) {
        return budgetFor(service).tryRetry(countEntries());
    }

    private ServiceRetryBudget budgetFor(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> new ServiceRetryBudget(settings, clock));
    }

    /**
     * Returns the highest number of live entries within a window, since entries that this one can no longer reach may
     * still retry calls.
     */
    private int countEntries() {
        long now = clock.millis();
        int seen = Math.max(1, entriesSeen.getAsInt());
        if (seen >= mostEntries || now - mostEntriesMillis > settings.window().toMillis()) {
            mostEntries = seen;
            mostEntriesMillis = now;
        }
        return now - startMillis < MEMBERSHIP_SETTLE_MILLIS
                ? Math.max(mostEntries, MIN_ENTRIES_DURING_STARTUP)
                : mostEntries;
    }
}
