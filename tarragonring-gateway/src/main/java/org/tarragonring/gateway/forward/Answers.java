package org.tarragonring.gateway.forward;

import java.util.Locale;
import java.util.function.BooleanSupplier;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.log.LogEvent;

/** Writes the answers that this entry gives itself. */
final class Answers {

    static final int NOT_FOUND = 404;
    static final int BAD_REQUEST = 400;
    static final int TOO_LARGE = 413;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final BooleanSupplier leaving;

    Answers(BooleanSupplier leaving) {
        this.leaving = leaving;
    }

    /** Says that a call did not run and never will, and when to come back. */
    void refuse(HttpServerRequest request, String reason, long retryAfterMillis) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.putHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
        fail(request, UNAVAILABLE, reason);
    }

    /** Ends a call with a status of this entry's own. */
    void fail(HttpServerRequest request, int status, String reason) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        prepare(response);
        response.setStatusCode(status).putHeader("Content-Type", "text/plain").end(reason + "\n");
    }

    /** Asks the caller to use another connection while this entry leaves. */
    void prepare(HttpServerResponse response) {
        if (leaving.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
    }

    /** Logs how a call ended. */
    static void log(Exchange exchange, long nowMillis, int status, String outcome, String reason) {
        LogEvent.CALL_ENDED.logForCall(
                exchange.head.id(),
                status,
                outcome,
                nowMillis - exchange.arrivedMillis,
                exchange.attempt,
                exchange.replica == null ? "none" : exchange.replica.id(),
                reason);
    }
}
