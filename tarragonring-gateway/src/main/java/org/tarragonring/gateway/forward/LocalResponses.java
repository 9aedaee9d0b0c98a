package org.tarragonring.gateway.forward;

import java.util.Locale;
import java.util.function.BooleanSupplier;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.errors.Verdict;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.replica.ReplicaState;

/** Writes the HTTP responses that this entry generates itself instead of forwarding them from a replica. */
final class LocalResponses {

    static final int NOT_FOUND = 404;
    static final int BAD_REQUEST = 400;
    static final int REQUEST_TIMEOUT = 408;
    static final int TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** Retry-After value during shutdown; it is short because another entry can take the call at once. */
    static final long SHUTDOWN_RETRY_AFTER_MILLIS = 50;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final BooleanSupplier shuttingDown;

    LocalResponses(BooleanSupplier shuttingDown) {
        this.shuttingDown = shuttingDown;
    }

    /**
     * Sends status 503 for a call that has not run and will not run. Does nothing if the response has ended.
     *
     * @param request the caller's request, not null
     * @param reason the response body, not null
     * @param retryAfterMillis the value of the {@code Retry-After} header in milliseconds; the header is in seconds
     */
    void sendUnavailable(HttpServerRequest request, String reason, long retryAfterMillis) {
        sendRetryable(request, UNAVAILABLE, reason, retryAfterMillis);
    }

    /**
     * Sends an error response for a call that has not run and may be sent again later. Does nothing if the response has
     * ended.
     *
     * @param request the caller's request, not null
     * @param status the HTTP status code
     * @param reason the response body, not null
     * @param retryAfterMillis the value of the {@code Retry-After} header in milliseconds; the header is in seconds
     */
    void sendRetryable(HttpServerRequest request, int status, String reason, long retryAfterMillis) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.putHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
        sendError(request, status, reason);
    }

    /**
     * Sends an error response with a plain text body. Does nothing if the response has ended.
     *
     * @param request the caller's request, not null
     * @param status the HTTP status code
     * @param reason the response body, not null
     */
    void sendError(HttpServerRequest request, int status, String reason) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        addConnectionHeader(response);
        response.setStatusCode(status).putHeader("Content-Type", "text/plain").end(reason + "\n");
    }

    /** Adds {@code Connection: close} to a response while this entry shuts down. */
    void addConnectionHeader(HttpServerResponse response) {
        if (shuttingDown.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
    }

    /** Logs that a replica did not run a call, or failed while running it. */
    static void logAttemptFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason) {
        String request =
                verdict == Verdict.NOT_RUN ? "not run" : exchange.fingerprint().value();
        LogEvent.ATTEMPT_FAILED.logForCall(
                exchange.head.id(), replica.id(), request, exchange.head.sharedPromptParts(), verdict.text(), reason);
    }

    /** Logs the status, outcome and duration of a call that has ended. */
    static void logCallEnded(Exchange exchange, long nowMillis, int status, String outcome, String reason) {
        LogEvent.CALL_ENDED.logForCall(
                exchange.head.id(),
                status,
                outcome,
                nowMillis - exchange.arrivalMillis,
                exchange.attemptNumber,
                exchange.replica == null ? "none" : exchange.replica.id(),
                reason);
    }
}
