package org.tarragonring.admission;

import java.util.Objects;

/**
 * A call that waits for a replica.
 *
 * @param <T> what is done with the call when its turn comes
 * @param priority 0 goes first, 9 last
 * @param arrivedMillis when it arrived, on the monotonic clock
 * @param deadlineMillis when its first answer is due, on the monotonic clock
 * @param call the call itself, not null
 * @since 0.1.0
 */
public record WaitingCall<T>(int priority, long arrivedMillis, long deadlineMillis, T call) {

    /** The lowest priority. */
    public static final int LOWEST_PRIORITY = 9;

    /** Checks the arguments. */
    public WaitingCall {
        Objects.requireNonNull(call, "call");
        if (priority < 0 || priority > LOWEST_PRIORITY) {
            throw new IllegalArgumentException("priority %d is not between 0 and 9".formatted(priority));
        }
    }
}
