package org.tarragonring.cli.client;

/**
 * The result of a call.
 *
 * @param outcome the outcome, not null
 * @param code the error code, empty if the call was answered; not null
 * @param verdict the verdict on whether the request ran, empty if the call was answered; not null
 * @param text the text of the received tokens or the response body, or the error message if the call was not answered;
 *     not null
 * @param tokens the number of received tokens; 0 for a plain service and for a call that was not answered
 * @param firstMillis the time in milliseconds to the first token, or to the complete response of a plain service; -1 if
 *     the call was not answered
 * @since 0.1.0
 */
public record CallResult(Outcome outcome, String code, String verdict, String text, int tokens, double firstMillis) {

    /**
     * Checks whether the complete response was received.
     *
     * @return true if the outcome is {@link Outcome#ANSWERED}
     */
    public boolean isAnswered() {
        return outcome == Outcome.ANSWERED;
    }

    /**
     * Describes why a call was not answered.
     *
     * @return one line with the outcome, the error code, the verdict and the error message
     */
    public String describe() {
        return "%s %s, verdict %s: %s".formatted(outcome, code, verdict, text);
    }

    /** The outcome of a call. */
    public enum Outcome {
        /** The complete response was received. */
        ANSWERED,
        /** The entry refused the call, or ended its stream with an error event; either carries a verdict. */
        REFUSED,
        /** Neither a complete response nor an error with a verdict was received. */
        LOST
    }
}
