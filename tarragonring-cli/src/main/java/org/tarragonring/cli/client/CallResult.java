package org.tarragonring.cli.client;

/**
 * What came of a call.
 *
 * @param outcome the outcome, not null
 * @param code the refusal's code, empty for an answer; not null
 * @param verdict whether the request may have run, empty for an answer; not null
 * @param text the tokens or body received, not null
 * @param tokens the number of tokens received
 * @param firstMillis the time to the first token or answer, -1 if none came
 * @since 0.1.0
 */
public record CallResult(Outcome outcome, String code, String verdict, String text, int tokens, double firstMillis) {

    /**
     * Checks if the whole answer came.
     *
     * @return true if it did
     */
    public boolean isAnswered() {
        return outcome == Outcome.ANSWERED;
    }

    /**
     * Describes a call that got no answer.
     *
     * @return a line
     */
    public String describe() {
        return "%s %s, verdict %s: %s".formatted(outcome, code, verdict, text);
    }

    /** The outcomes. */
    public enum Outcome {
        /** The whole answer came. */
        ANSWERED,
        /** The call was refused, or broken off with a verdict. */
        REFUSED,
        /** Neither came. */
        LOST
    }
}
