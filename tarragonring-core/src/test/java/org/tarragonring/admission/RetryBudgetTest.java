package org.tarragonring.admission;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetTest {

    private static final int RESERVE = 10;

    @Test
    void stormSendsAtMostATenthMoreThanItsReserve() {
        RetryBudget budget = new RetryBudget();
        int accepted = 10_000;
        int sent = 0;
        for (int i = 0; i < accepted; i++) {
            budget.accepted();
            sent++;
            while (budget.tryRetry()) {
                sent++;
            }
        }
        assertTrue(sent <= accepted * 1.1 + RESERVE, "sent " + sent);
    }
}
