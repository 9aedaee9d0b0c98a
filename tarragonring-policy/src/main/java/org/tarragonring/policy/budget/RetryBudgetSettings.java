package org.tarragonring.policy.budget;

import java.time.Duration;
import java.util.Objects;

/**
 * The size of a service's retry budget, which all entries share.
 *
 * @param ratio the number of retries allowed per call in the window, 0 or more
 * @param allowance the number of retries allowed per window in addition, independent of the number of calls; 0 or more,
 *     not necessarily a whole number, as it may be a share of a larger allowance
 * @param window the length of the sliding window, not null
 * @since 0.2.0
 */
public record RetryBudgetSettings(double ratio, double allowance, Duration window) {

    /** Checks the arguments. */
    public RetryBudgetSettings {
        requireNonNegative("ratio", ratio);
        requireNonNegative("allowance", allowance);
        Objects.requireNonNull(window, "window");
    }

    private static void requireNonNegative(String name, double value) {
        if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("%s must be a number of 0 or more, but is %s".formatted(name, value));
        }
    }
}
