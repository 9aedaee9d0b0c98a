package org.tarragonring.errors;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionException;

/**
 * Ends a call without an answer and says whether the request may have run.
 *
 * @since 0.1.0
 */
public final class CallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;
    private final Verdict verdict;
    private final Duration retryAfter;

    /**
     * Creates an exception.
     *
     * @param reason why the call got no answer, not null
     * @param verdict whether the request may have run, not null
     * @param retryAfter when the caller may come back, zero if there is no advice, not null
     * @param message what happened, naming the things concerned
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
     * @param reason why the call got no answer, not null
     * @param message what happened
     * @return the exception, with no advice when to come back
     */
    public static CallException notRun(RefusalReason reason, String message) {
        return new CallException(reason, Verdict.NOT_RUN, Duration.ZERO, message);
    }

    /**
     * Finds the call exception in a failure.
     *
     * @param failure the failure, maybe wrapped in {@link CompletionException}, not null
     * @return the exception itself, or one with the verdict {@link Verdict#MAY_HAVE_RUN} for a failure of
     *     another type
     */
    public static CallException of(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof CallException call) {
            return call;
        }
        return new CallException(
                RefusalReason.UPSTREAM_BROKE_OFF, Verdict.MAY_HAVE_RUN, Duration.ZERO, String.valueOf(cause));
    }

    /**
     * Returns why the call got no answer.
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
     * Returns when the caller may come back.
     *
     * @return the wait, zero if there is no advice, never null
     */
    public Duration retryAfter() {
        return retryAfter;
    }
}
