package org.tarragonring.caller;

/**
 * Headers between callers and this system.
 *
 * @since 0.1.0
 */
public final class CallerHeaders {

    /** The time within which the first answer is needed, in milliseconds; no longer than the class allows. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Millis";

    /** The priority, 0 first; no better than the class allows. */
    public static final String PRIORITY = "X-Priority";

    /** The key that makes a non-idempotent call run at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The call's id, made by the entry. */
    public static final String CALL_ID = "X-Call-Id";

    /** Whether the request may have run. */
    public static final String VERDICT = "X-Verdict";

    /** Whether the answer was stored by an earlier attempt. */
    public static final String REPLAYED = "X-Idempotent-Replay";

    /** Another entry's address, on answers of one that is leaving. */
    public static final String MOVE_TO = "X-Move-To";

    private CallerHeaders() {}
}
