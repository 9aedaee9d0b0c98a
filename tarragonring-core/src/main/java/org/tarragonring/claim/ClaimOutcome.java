package org.tarragonring.claim;

/**
 * The outcome of a claim operation.
 *
 * @param kind the outcome, not null
 * @param response the stored response, null unless the outcome is {@link Kind#ANSWERED}
 * @since 0.1.0
 */
public record ClaimOutcome(Kind kind, StoredResponse response) {

    /** The kinds of outcomes. */
    public enum Kind {
        /** The attempt holds the claim and may send the call. Also the outcome of all completions and releases. */
        GRANTED,
        /** The call ran before and its response is stored. */
        ANSWERED,
        /** Another attempt claimed the call before and its response is not known. */
        OUTCOME_UNKNOWN,
        /** The idempotency key was used before with a different request. */
        KEY_REUSED
    }
}
