package org.tarragonring.errors;

import java.util.Locale;

/**
 * Says why a call got no answer.
 *
 * @since 0.1.0
 */
public enum RefusalReason {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The team's key is missing or unknown. */
    UNKNOWN_KEY(401),
    /** No such model or route exists for the team. */
    NOT_FOUND(404),
    /** The body or headers exceed the limit. */
    TOO_LARGE(413),
    /** The idempotency key was used with another request. */
    KEY_REUSED(422),
    /** The idempotency key's first call may have run and its answer is not known. */
    OUTCOME_UNKNOWN(409),
    /** The team uses its whole share. */
    TEAM_LIMIT(429),
    /** The model's queue is full. */
    QUEUE_FULL(429),
    /** The answer would come after the deadline. */
    DEADLINE(503),
    /** No upstream has room for the model. */
    NO_CAPACITY(503),
    /** The load of the model failed. */
    LOAD_FAILED(503),
    /** No upstream could take the request. */
    UPSTREAM_UNAVAILABLE(502),
    /** The upstream's answer broke off. */
    UPSTREAM_BROKE_OFF(502),
    /** The platform's store cannot be reached and the call needs it. */
    STORE_UNAVAILABLE(503),
    /** The request crashed several upstreams and is refused everywhere. */
    QUARANTINED(422),
    /** The entry is shutting down. */
    SHUTTING_DOWN(503);

    private final int httpStatus;

    RefusalReason(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status that a caller sees.
     *
     * @return a status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the reason's name in error bodies and metrics.
     *
     * @return lower-case text with underscores, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
