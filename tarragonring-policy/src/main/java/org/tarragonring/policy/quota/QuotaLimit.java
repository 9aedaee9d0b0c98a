package org.tarragonring.policy.quota;

/**
 * The limit of what a team may use, over all entries together.
 *
 * @param ratePerSecond what the team may use per second, above 0
 * @param burst what it may use at once in addition, 0 or more
 * @param countsTokens whether calls count by their tokens; each counts 1 otherwise
 * @param plainTokens what a call counts that tells no number of tokens, 0 or more
 * @since 0.2.0
 */
public record QuotaLimit(double ratePerSecond, double burst, boolean countsTokens, long plainTokens) {

    /** Checks the arguments. */
    public QuotaLimit {
        if (!(ratePerSecond > 0 && ratePerSecond < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("ratePerSecond must be above 0, but is " + ratePerSecond);
        }
        if (!(burst >= 0 && burst < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("burst must be 0 or more, but is " + burst);
        }
        if (plainTokens < 0) {
            throw new IllegalArgumentException("plainTokens must be 0 or more, but is " + plainTokens);
        }
    }
}
