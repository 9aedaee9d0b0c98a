package org.tarragonring.caller;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;
import org.tarragonring.log.LogEvent;
import org.tarragonring.time.Timers;

/**
 * Ends an accepted call exactly once, with a response, an error or the caller's disconnect, and releases its
 * capacity in the team's share. Until then a deadline ends the call whatever else happens to it: only the end of the call,
 * or the start of its response, cancels the deadline.
 */
final class CallCompletion {

    private final CallDependencies dependencies;
    private final CallDetails details;
    private final HttpServerResponse response;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final AtomicBoolean responseStarted = new AtomicBoolean();
    private final Timers timers;
    private Timers.Task deadline = () -> {};

    /**
     * Creates the completion of a call that was accepted.
     *
     * @param dependencies the components that process calls, not null
     * @param details the call, not null
     * @param response the response to the caller, not null
     * @param timers schedules the deadline on the event loop of the call, not null
     */
    CallCompletion(CallDependencies dependencies, CallDetails details, HttpServerResponse response, Timers timers) {
        this.dependencies = dependencies;
        this.details = details;
        this.response = response;
        this.timers = timers;
        dependencies.metrics().recordAccepted(details.callClass().name());
        dependencies.retryBudget().recordAcceptedCall();
    }

    /**
     * Sets when the call ends unless its response starts before; replaces an earlier deadline.
     *
     * @param deadlineMillis the time on the monotonic clock, in milliseconds
     * @param cause releases what the call occupies and returns why it ends, not null; if it fails itself, the call ends
     *     nevertheless
     */
    void setDeadline(long deadlineMillis, Supplier<CallException> cause) {
        deadline.cancel();
        long remainingMillis = deadlineMillis - dependencies.clock().millis();
        deadline = timers.schedule(Duration.ofMillis(Math.max(1, remainingMillis)), () -> onDeadline(cause));
    }

    private void onDeadline(Supplier<CallException> cause) {
        if (!isOpen()) {
            return;
        }
        CallException failure;
        try {
            failure = cause.get();
        } catch (RuntimeException e) {
            LogEvent.UNEXPECTED_FAILURE.log("the end of call " + details.id() + " at its deadline", e);
            failure = new CallException(
                    RefusalReason.DEADLINE,
                    Verdict.MAY_HAVE_RUN,
                    Duration.ZERO,
                    "response did not start before the deadline");
        }
        refuse(failure);
    }

    boolean isOpen() {
        return open.get();
    }

    /** Marks the response as started and cancels the deadline; records the delay of the first invocation. */
    void markResponseStarted() {
        deadline.cancel();
        if (responseStarted.compareAndSet(false, true)) {
            long elapsedMillis = dependencies.clock().millis() - details.arrivedMillis();
            dependencies.metrics().recordFirstResponse(details.callClass().name(), Duration.ofMillis(elapsedMillis));
        }
    }

    boolean isResponseStarted() {
        return responseStarted.get();
    }

    /**
     * Ends the call with a complete response. The response itself must be written by the invoker.
     *
     * @return false if the call had already ended
     */
    boolean complete() {
        if (!close()) {
            return false;
        }
        dependencies.metrics().recordCompleted(details.callClass().name());
        return true;
    }

    /** Ends the call with an error response, or with a last event of type {@code error} if a stream has started. */
    void refuse(CallException failure) {
        if (!close()) {
            return;
        }
        dependencies.metrics().recordRefused(failure.reason());
        LogEvent.CALL_REFUSED.logForCall(
                details.id().value(), failure.reason().code(), failure.verdict().text(), failure.getMessage());
        if (response.headWritten()) {
            if (!response.closed() && !response.ended()) {
                response.end(
                        "event: error\ndata: " + ErrorResponses.body(failure).encode() + "\n\n");
            }
        } else {
            ErrorResponses.send(response, failure);
        }
    }

    /** Ends a call whose caller disconnected. */
    void abandon() {
        close();
    }

    private boolean close() {
        if (!open.compareAndSet(true, false)) {
            return false;
        }
        deadline.cancel();
        dependencies.teamShares().release(details.team().name());
        return true;
    }
}
