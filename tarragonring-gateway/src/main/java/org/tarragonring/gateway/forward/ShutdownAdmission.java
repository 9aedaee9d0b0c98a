package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;

import org.tarragonring.time.MonotonicClock;

/**
 * Decides which calls still end before this entry does, after its shutdown has begun. A call that does not would be cut off
 * without a response, although another entry could have run it.
 *
 * <p>Not thread-safe.
 */
final class ShutdownAdmission {

    /** Calls that must not run twice get more room, as their callers cannot repeat them after they were cut off. */
    private static final int NON_RETRYABLE_FACTOR = 2;

    /** The time from the end of a run to the end of the response at the caller. */
    private static final long RESPONSE_MILLIS = 200;

    private final CallDurationEstimator estimator;
    private final MonotonicClock clock;
    private boolean shuttingDown;
    private long endMillis;

    ShutdownAdmission(CallDurationEstimator estimator, MonotonicClock clock) {
        this.estimator = Objects.requireNonNull(estimator, "estimator");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records that the shutdown has begun. */
    void begin(Duration limit) {
        shuttingDown = true;
        endMillis = clock.millis() + limit.toMillis();
    }

    /** Returns whether a call is expected to end before this entry does; always true before a shutdown. */
    boolean admits(Exchange exchange) {
        if (!shuttingDown) {
            return true;
        }
        long timeoutMillis = exchange.deadlineMillis - clock.millis();
        OptionalLong longest = estimator.longestMillis(exchange.route.name());
        long expectedMillis = longest.isPresent()
                ? longest.getAsLong() * (exchange.route.isRetryable() ? 1 : NON_RETRYABLE_FACTOR)
                : timeoutMillis;
        return clock.millis() + Math.min(timeoutMillis, expectedMillis) + RESPONSE_MILLIS <= endMillis;
    }
}
