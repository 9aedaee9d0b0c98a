package org.tarragonring.claim;

/**
 * Says what a claim came to.
 *
 * @param kind the outcome, not null
 * @param answer the stored answer, null unless the outcome is {@link Kind#ANSWERED}
 * @since 0.1.0
 */
public record ClaimOutcome(Kind kind, StoredAnswer answer) {

    /** What a claim came to. */
    public enum Kind {
        /** The caller of the ledger owns the one send. */
        GRANTED,
        /** The call ran before; its answer is at hand. */
        ANSWERED,
        /** The call was claimed before and its answer is not known. */
        OUTCOME_UNKNOWN,
        /** The key was used with another request. */
        KEY_REUSED
    }
}
