package org.tarragonring.errors;

import java.util.Locale;

/**
 * The reason why a call failed or was refused.
 *
 * @since 0.1.0
 */
public enum RefusalReason {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The team's bearer key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** The model or route does not exist, or the team has no access to it. */
    NOT_FOUND(404),
    /** The body or the headers exceed their maximum size. */
    TOO_LARGE(413),
    /** The idempotency key was already used with a different request. */
    KEY_REUSED(422),
    /** An earlier call with the same idempotency key may have run, and its response is not known. */
    OUTCOME_UNKNOWN(409),
    /** The team has used up its share of concurrent calls. */
    TEAM_LIMIT(429),
    /** The model's queue is full. */
    QUEUE_FULL(429),
    /** The response did not start before the deadline, or was not expected to. */
    DEADLINE(503),
    /** No upstream has free capacity for the model. */
    NO_CAPACITY(503),
    /** Loading the model failed. */
    LOAD_FAILED(503),
    /** No upstream accepted the request. */
    UPSTREAM_UNAVAILABLE(502),
    /** The upstream failed after the request was sent, or before its response was complete. */
    UPSTREAM_BROKE_OFF(502),
    /** The call needs the platform's object store, which cannot be reached. */
    STORE_UNAVAILABLE(503),
    /** Several replicas failed while running the request; all entries refuse it. */
    QUARANTINED(422),
    /** The entry is shutting down. */
    SHUTTING_DOWN(503);

    private final int httpStatus;

    RefusalReason(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status of the error response.
     *
     * @return a status code from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the error code that is used in error responses and metrics.
     *
     * @return the constant's name in lower case, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
