package org.tarragonring.errors;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionException;

/**
 * Thrown when a call fails or is refused. The verdict states whether the request may have run.
 *
 * @since 0.1.0
 */
public final class CallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;
    private final Verdict verdict;
    private final Duration retryAfter;

    /**
     * Creates an exception without a stack trace.
     *
     * @param reason why the call failed, not null
     * @param verdict whether the request may have run, not null
     * @param retryAfter the time after which the caller should retry, zero if unknown, not null
     * @param message the error message, with the values that caused the failure
     */
    public CallException(RefusalReason reason, Verdict verdict, Duration retryAfter, String message) {
        super(message, null, false, false);
        this.reason = Objects.requireNonNull(reason, "reason");
        this.verdict = Objects.requireNonNull(verdict, "verdict");
        this.retryAfter = Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Creates an exception for a request that did not run.
     *
     * @param reason why the call failed, not null
     * @param message the error message, with the values that caused the failure
     * @return the exception, with the verdict {@link Verdict#NOT_RUN} and no time to retry after; never null
     */
    public static CallException notRun(RefusalReason reason, String message) {
        return new CallException(reason, Verdict.NOT_RUN, Duration.ZERO, message);
    }

    /**
     * Converts a failure to a call exception.
     *
     * @param failure the failure, possibly wrapped in {@link CompletionException}, not null
     * @return the failure itself if it is a call exception, otherwise a new exception with the reason
     *     {@link RefusalReason#UPSTREAM_BROKE_OFF} and the verdict {@link Verdict#MAY_HAVE_RUN}; never null
     */
    public static CallException of(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof CallException callException) {
            return callException;
        }
        return new CallException(
                RefusalReason.UPSTREAM_BROKE_OFF, Verdict.MAY_HAVE_RUN, Duration.ZERO, String.valueOf(cause));
    }

    /**
     * Returns this failure with another verdict.
     *
     * @param newVerdict whether the request may have run, not null
     * @return an exception with the same reason, time to retry after and message; never null
     */
    public CallException withVerdict(Verdict newVerdict) {
        return new CallException(reason, newVerdict, retryAfter, getMessage());
    }

    /**
     * Returns why the call failed.
     *
     * @return the reason, never null
     */
    public RefusalReason reason() {
        return reason;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return the verdict, never null
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the time after which the caller should retry.
     *
     * @return the time, zero if unknown, never null
     */
    public Duration retryAfter() {
        return retryAfter;
    }
}
