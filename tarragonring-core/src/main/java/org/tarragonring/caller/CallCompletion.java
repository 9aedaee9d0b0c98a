package org.tarragonring.caller;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.errors.CallException;
import org.tarragonring.log.LogEvent;

/**
 * Ends an accepted call exactly once, with a response, an error or the caller's disconnect, and releases its
 * capacity in the team's share.
 */
final class CallCompletion {

    private final CallDependencies dependencies;
    private final CallDetails details;
    private final HttpServerResponse response;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final AtomicBoolean responseStarted = new AtomicBoolean();

    CallCompletion(CallDependencies dependencies, CallDetails details, HttpServerResponse response) {
        this.dependencies = dependencies;
        this.details = details;
        this.response = response;
        dependencies.metrics().recordAccepted(details.callClass().name());
        dependencies.retryBudget().recordAcceptedCall();
    }

    boolean isOpen() {
        return open.get();
    }

    /** Marks the response as started and records its delay; has no effect after the first invocation. */
    void markResponseStarted() {
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
        dependencies.teamShares().release(details.team().name());
        return true;
    }
}
