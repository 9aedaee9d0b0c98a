package org.tarragonring.admission;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Retries of failing calls must not multiply the load of upstreams that are already failing. */
class RetryBudgetTest {

    private static final int RESERVE_RETRIES = 10;

    @Test
    void retriesAreLimitedToATenthOfAcceptedCallsPlusReserve() {
        RetryBudget budget = new RetryBudget();
        int accepted = 10_000;
        int sent = 0;
        for (int i = 0; i < accepted; i++) {
            budget.recordAcceptedCall();
            sent++;
            while (budget.tryAcquire()) {
                sent++;
            }
        }
        assertTrue(sent <= accepted * 1.1 + RESERVE_RETRIES, "sent " + sent);
    }
}
