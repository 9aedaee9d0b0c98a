package org.tarragonring.policy.budget;

import java.time.Duration;
import java.util.Objects;

/**
 * The size of a service's retry budget, which all entries share.
 *
 * @param ratio the number of retries allowed per call in the window
 * @param allowance the number of retries allowed per window in addition, independent of the number of calls
 * @param window the length of the sliding window, not null
 * @since 0.2.0
 */
public record RetryBudgetSettings(double ratio, int allowance, Duration window) {

    /** Checks the arguments. */
    public RetryBudgetSettings {
        Objects.requireNonNull(window, "window");
    }
}
