package org.tarragonring.admission;

import java.util.Objects;

/**
 * A call in a {@link CallQueue} that waits for a replica.
 *
 * @param <T> the type of the call
 * @param priority the priority, from 0 (highest) to {@value #LOWEST_PRIORITY} (lowest)
 * @param arrivedMillis the time of arrival, in milliseconds of the monotonic clock
 * @param deadlineMillis the time by which the response must start, in milliseconds of the monotonic clock
 * @param call the call, not null
 * @since 0.1.0
 */
public record WaitingCall<T>(int priority, long arrivedMillis, long deadlineMillis, T call) {

    /** The lowest priority. */
    public static final int LOWEST_PRIORITY = 9;

    /** Rejects a null call and a priority out of range. */
    public WaitingCall {
        Objects.requireNonNull(call, "call");
        if (priority < 0 || priority > LOWEST_PRIORITY) {
            throw new IllegalArgumentException(
                    "priority %d is not between 0 and %d".formatted(priority, LOWEST_PRIORITY));
        }
    }
}
