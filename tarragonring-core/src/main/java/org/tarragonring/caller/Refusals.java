package org.tarragonring.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.tarragonring.errors.CallException;

/**
 * Writes refusals in the shape that model clients expect of errors.
 *
 * @since 0.1.0
 */
public final class Refusals {

    private static final long MILLIS_PER_SECOND = 1000;

    private Refusals() {}

    /**
     * Ends a response whose head was not sent yet with a refusal.
     *
     * @param response the response, not null
     * @param failure why the call got no answer, not null
     */
    public static void send(HttpServerResponse response, CallException failure) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(failure.reason().httpStatus());
        response.putHeader("Content-Type", "application/json");
        response.putHeader(CallerHeaders.VERDICT, failure.verdict().text());
        if (!failure.retryAfter().isZero()) {
            long seconds = (failure.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.putHeader("Retry-After", Long.toString(seconds));
        }
        response.end(body(failure).toBuffer());
    }

    /**
     * Returns the body that describes a failure.
     *
     * @param failure why the call got no answer, not null
     * @return an object with the member {@code error}
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
