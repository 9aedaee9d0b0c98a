package org.tarragonring.gateway.call;

/**
 * How large a call is, as its caller tells.
 *
 * @param promptTokens the number of tokens of the prompt, 0 or more
 * @param maxOutputTokens the maximum number of generated tokens, 0 or more
 * @since 0.2.0
 */
public record TokenCount(long promptTokens, long maxOutputTokens) {

    /** Checks the arguments. */
    public TokenCount {
        if (promptTokens < 0 || maxOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "numbers of tokens must be 0 or more, but are %d and %d".formatted(promptTokens, maxOutputTokens));
        }
    }

    /**
     * Returns the sum of both numbers.
     *
     * @return the number of tokens that the call may use; {@link Long#MAX_VALUE} if the sum is larger
     */
    public long total() {
        long sum = promptTokens + maxOutputTokens;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }
}
