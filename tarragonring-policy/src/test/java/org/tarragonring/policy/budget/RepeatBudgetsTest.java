package org.tarragonring.policy.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RepeatBudgetsTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final BudgetTerms TERMS = new BudgetTerms(0, 56, WINDOW);
    private static final ServiceName SERVICE = new ServiceName("app");
    private static final ServiceName OTHER = new ServiceName("other");

    private long nowMillis = 100_000;
    private int entriesSeen = 8;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;

    @Test
    void servicesHaveBudgetsOfTheirOwn() {
        RepeatBudgets budgets = new RepeatBudgets(TERMS, () -> entriesSeen, clock);
        nowMillis += RepeatBudgets.SETTLE_MILLIS;

        assertEquals(3, take(budgets, SERVICE));
        assertEquals(3, take(budgets, OTHER));
    }

    @Test
    void callsAddTheirShare() {
        RepeatBudgets budgets = new RepeatBudgets(new BudgetTerms(0.2, 0, WINDOW), () -> entriesSeen, clock);
        for (int i = 0; i < 10; i++) {
            budgets.onCall(SERVICE);
        }

        assertEquals(2, take(budgets, SERVICE));
    }

    @Test
    void entryThatSeesNobodyStillCountsAsOne() {
        entriesSeen = 0;
        RepeatBudgets budgets = new RepeatBudgets(TERMS, () -> entriesSeen, clock);
        nowMillis += RepeatBudgets.SETTLE_MILLIS;

        assertEquals(28, take(budgets, SERVICE));
    }

    @Test
    void entryThatIsCutOffKeepsItsShareForAWindow() {
        RepeatBudgets budgets = new RepeatBudgets(TERMS, () -> entriesSeen, clock);
        nowMillis += RepeatBudgets.SETTLE_MILLIS;
        budgets.onCall(SERVICE);
        entriesSeen = 1;
        nowMillis += WINDOW.toMillis();

        assertEquals(3, take(budgets, SERVICE));
    }

    @Test
    void restartOfAllEntriesStaysWithinTheAllowance() {
        List<RepeatBudgets> before = entries(8);
        nowMillis += RepeatBudgets.SETTLE_MILLIS;
        int repeats = takeAll(before);
        nowMillis += 2_000;
        entriesSeen = 1;
        List<RepeatBudgets> after = entries(8);
        repeats += takeAll(after);
        nowMillis += RepeatBudgets.SETTLE_MILLIS;
        entriesSeen = 8;
        repeats += takeAll(after);

        assertTrue(repeats <= TERMS.allowance(), repeats + " repeats");
    }

    private List<RepeatBudgets> entries(int count) {
        List<RepeatBudgets> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new RepeatBudgets(TERMS, () -> entriesSeen, clock));
        }
        return entries;
    }

    private static int takeAll(List<RepeatBudgets> entries) {
        return entries.stream().mapToInt(budgets -> take(budgets, SERVICE)).sum();
    }

    private static int take(RepeatBudgets budgets, ServiceName service) {
        int taken = 0;
        while (budgets.tryRepeat(service)) {
            taken++;
        }
        return taken;
    }
}
