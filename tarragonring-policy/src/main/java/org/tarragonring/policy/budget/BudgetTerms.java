package org.tarragonring.policy.budget;

import java.time.Duration;
import java.util.Objects;

/**
 * The size of the budget of repeats that all entries share.
 *
 * @param ratio repeats for each call
 * @param allowance repeats in a window that need no calls
 * @param window the length of the window, not null
 * @since 0.2.0
 */
public record BudgetTerms(double ratio, int allowance, Duration window) {

    /** Checks the arguments. */
    public BudgetTerms {
        Objects.requireNonNull(window, "window");
    }
}
