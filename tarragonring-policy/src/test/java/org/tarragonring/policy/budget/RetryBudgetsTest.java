package org.tarragonring.policy.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetsTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final RetryBudgetSettings SETTINGS = new RetryBudgetSettings(0, 56, WINDOW);
    private static final ServiceName SERVICE = new ServiceName("app");
    private static final ServiceName OTHER = new ServiceName("other");

    private long nowMillis = 100_000;
    private int aliveEntries = 8;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;

    @Test
    void eachServiceHasItsOwnBudget() {
        RetryBudgets budgets = new RetryBudgets(SETTINGS, () -> aliveEntries, clock);
        nowMillis += RetryBudgets.MEMBERSHIP_SETTLE_MILLIS;

        assertEquals(3, takeRetries(budgets, SERVICE));
        assertEquals(3, takeRetries(budgets, OTHER));
    }

    @Test
    void callsIncreaseTheBudgetByTheRatio() {
        RetryBudgets budgets = new RetryBudgets(new RetryBudgetSettings(0.2, 0, WINDOW), () -> aliveEntries, clock);
        for (int i = 0; i < 10; i++) {
            budgets.onCall(SERVICE);
        }

        assertEquals(2, takeRetries(budgets, SERVICE));
    }

    @Test
    void entryCountIsAtLeastOne() {
        aliveEntries = 0;
        RetryBudgets budgets = new RetryBudgets(SETTINGS, () -> aliveEntries, clock);
        nowMillis += RetryBudgets.MEMBERSHIP_SETTLE_MILLIS;

        assertEquals(28, takeRetries(budgets, SERVICE));
    }

    @Test
    void partitionedEntryKeepsItsShareForOneWindow() {
        RetryBudgets budgets = new RetryBudgets(SETTINGS, () -> aliveEntries, clock);
        nowMillis += RetryBudgets.MEMBERSHIP_SETTLE_MILLIS;
        budgets.onCall(SERVICE);
        aliveEntries = 1;
        nowMillis += WINDOW.toMillis();

        assertEquals(3, takeRetries(budgets, SERVICE));
    }

    @Test
    void simultaneousRestartOfAllEntriesStaysWithinTheAllowance() {
        List<RetryBudgets> before = entries(8);
        nowMillis += RetryBudgets.MEMBERSHIP_SETTLE_MILLIS;
        int retries = takeAllRetries(before);
        nowMillis += 2_000;
        aliveEntries = 1;
        List<RetryBudgets> after = entries(8);
        retries += takeAllRetries(after);
        nowMillis += RetryBudgets.MEMBERSHIP_SETTLE_MILLIS;
        aliveEntries = 8;
        retries += takeAllRetries(after);

        assertTrue(retries <= SETTINGS.allowance(), retries + " retries");
    }

    private List<RetryBudgets> entries(int count) {
        List<RetryBudgets> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new RetryBudgets(SETTINGS, () -> aliveEntries, clock));
        }
        return entries;
    }

    private static int takeAllRetries(List<RetryBudgets> entries) {
        return entries.stream()
                .mapToInt(budgets -> takeRetries(budgets, SERVICE))
                .sum();
    }

    private static int takeRetries(RetryBudgets budgets, ServiceName service) {
        int taken = 0;
        while (budgets.tryRetry(service)) {
            taken++;
        }
        return taken;
    }
}
