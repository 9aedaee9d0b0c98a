package org.tarragonring.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.tarragonring.errors.CallException;

/**
 * Writes error responses in the JSON format that model clients expect.
 *
 * @since 0.1.0
 */
public final class ErrorResponses {

    private static final long MILLIS_PER_SECOND = 1000;

    private ErrorResponses() {}

    /**
     * Sends an error response, or does nothing if the response has ended or its connection is closed.
     *
     * @param response a response whose headers have not been sent, not null
     * @param failure the failure of the call, not null
     */
    public static void send(HttpServerResponse response, CallException failure) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(failure.reason().httpStatus());
        response.putHeader("Content-Type", "application/json");
        response.putHeader(CallerHeaders.VERDICT, failure.verdict().text());
        if (!failure.retryAfter().isZero()) {
            long retryAfterSeconds = (failure.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.putHeader("Retry-After", Long.toString(retryAfterSeconds));
        }
        response.end(body(failure).toBuffer());
    }

    /**
     * Returns the response body that describes a failure.
     *
     * @param failure the failure of the call, not null
     * @return a JSON object with the member {@code error}, never null
     */
    public static JsonObject body(CallException failure) {
        return new JsonObject()
                .put(
                        "error",
                        new JsonObject()
                                .put("code", failure.reason().code())
                                .put("message", failure.getMessage())
                                .put("verdict", failure.verdict().text())
                                .put("retry_after_ms", failure.retryAfter().toMillis()));
    }
}
