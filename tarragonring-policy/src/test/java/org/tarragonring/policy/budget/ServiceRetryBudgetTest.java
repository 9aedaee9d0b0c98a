package org.tarragonring.policy.budget;

import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServiceRetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private long nowMillis = 100_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;

    @Test
    void allowanceIsDividedByEntryCount() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBudgetSettings(0.2, 16, WINDOW), clock);

        assertTrue(budget.tryRetry(8));
        assertFalse(budget.tryRetry(8));
    }

    @Test
    void callsIncreaseTheBudgetByTheRatio() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBudgetSettings(0.2, 0, WINDOW), clock);
        for (int i = 0; i < 5; i++) {
            assertFalse(budget.tryRetry(1));
            budget.onCall();
        }

        assertTrue(budget.tryRetry(1));
    }

    @Test
    void usedRetriesExpireAfterTheWindow() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBudgetSettings(0, 2, WINDOW), clock);
        assertTrue(budget.tryRetry(1));
        nowMillis += WINDOW.toMillis();
        assertFalse(budget.tryRetry(1), "a retry exactly one window old still counts");
        nowMillis++;

        assertTrue(budget.tryRetry(1));
    }

    @Test
    void checkDoesNotUseTheBudget() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBudgetSettings(0, 2, WINDOW), clock);

        assertTrue(budget.canRetry(1));
        assertTrue(budget.tryRetry(1));
        assertFalse(budget.canRetry(1));
    }

    @Test
    void processAndItsReplacementStayWithinTheAllowanceOfOneWindow() {
        RetryBudgetSettings settings = new RetryBudgetSettings(0, 56, WINDOW);
        int retries = 0;
        for (int process = 0; process < 2; process++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(settings, clock);
            while (budget.tryRetry(8)) {
                retries++;
            }
            nowMillis += 1_000;
        }

        assertTrue(retries <= 56 / 8, retries + " retries");
    }

    @Property
    void entriesTogetherStayWithinTheSharedAllowance(
            @ForAll @IntRange(min = 1, max = 400) int entries, @ForAll @IntRange(max = 300) int allowance) {
        int retries = 0;
        for (int entry = 0; entry < entries; entry++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBudgetSettings(0.2, allowance, WINDOW), clock);
            while (budget.tryRetry(entries)) {
                retries++;
            }
        }
        assertTrue(retries <= allowance, retries + " retries with an allowance of " + allowance);
    }
}
