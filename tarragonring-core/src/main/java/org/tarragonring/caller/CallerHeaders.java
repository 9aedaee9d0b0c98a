package org.tarragonring.caller;

/**
 * Defines the HTTP headers exchanged with callers.
 *
 * @since 0.1.0
 */
public final class CallerHeaders {

    /** The time within which the response must start, in milliseconds; limited to the deadline of the call class. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Millis";

    /** The priority from 0 (highest) to 9 (lowest); limited to the priority of the call class. */
    public static final String PRIORITY = "X-Priority";

    /** The key that makes a non-idempotent call of a plain service run at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The id that the entry assigned to the call. */
    public static final String CALL_ID = "X-Call-Id";

    /** Whether the request did not run, may have run or ran; see {@link org.tarragonring.errors.Verdict}. */
    public static final String VERDICT = "X-Verdict";

    /** Set to {@code true} on a stored response of an earlier request with the same idempotency key. */
    public static final String REPLAYED = "X-Idempotent-Replay";

    /** The address of another entry that the caller should use, sent by an entry that is shutting down. */
    public static final String MOVE_TO = "X-Move-To";

    private CallerHeaders() {}
}
