package org.tarragonring.policy.budget;

import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RepeatBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private long nowMillis = 100_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;

    @Test
    void allowanceIsDividedByTheEntries() {
        RepeatBudget budget = new RepeatBudget(new BudgetTerms(0.2, 16, WINDOW), clock);

        assertTrue(budget.tryRepeat(8));
        assertFalse(budget.tryRepeat(8));
    }

    @Test
    void callsAddTheirShare() {
        RepeatBudget budget = new RepeatBudget(new BudgetTerms(0.2, 0, WINDOW), clock);
        for (int i = 0; i < 5; i++) {
            assertFalse(budget.tryRepeat(1));
            budget.onCall();
        }

        assertTrue(budget.tryRepeat(1));
    }

    @Test
    void budgetReturnsAfterTheWindow() {
        RepeatBudget budget = new RepeatBudget(new BudgetTerms(0, 2, WINDOW), clock);
        assertTrue(budget.tryRepeat(1));
        nowMillis += WINDOW.toMillis();
        assertFalse(budget.tryRepeat(1), "the window slides, its end still counts");
        nowMillis++;

        assertTrue(budget.tryRepeat(1));
    }

    @Test
    void checkTakesNothing() {
        RepeatBudget budget = new RepeatBudget(new BudgetTerms(0, 2, WINDOW), clock);

        assertTrue(budget.hasRepeat(1));
        assertTrue(budget.tryRepeat(1));
        assertFalse(budget.hasRepeat(1));
    }

    @Test
    void processAndItsSuccessorStayWithinTheAllowanceOfOneWindow() {
        BudgetTerms terms = new BudgetTerms(0, 56, WINDOW);
        int repeats = 0;
        for (int process = 0; process < 2; process++) {
            RepeatBudget budget = new RepeatBudget(terms, clock);
            while (budget.tryRepeat(8)) {
                repeats++;
            }
            nowMillis += 1_000;
        }

        assertTrue(repeats <= 56 / 8, repeats + " repeats");
    }

    @Property
    void entriesTogetherStayWithinTheSharedAllowance(
            @ForAll @IntRange(min = 1, max = 400) int entries, @ForAll @IntRange(max = 300) int allowance) {
        int repeats = 0;
        for (int entry = 0; entry < entries; entry++) {
            RepeatBudget budget = new RepeatBudget(new BudgetTerms(0.2, allowance, WINDOW), clock);
            while (budget.tryRepeat(entries)) {
                repeats++;
            }
        }
        assertTrue(repeats <= allowance, repeats + " repeats of " + allowance);
    }
}
