package org.tarragonring.errors;

/**
 * States whether an upstream ran a request, and thus whether the request can safely be sent again.
 *
 * @since 0.1.0
 */
public enum Verdict {
    /** The request did not run; it can be sent again. */
    NOT_RUN("not-run"),
    /** The request may have run; it can be sent again only if it is idempotent. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran. */
    RAN("ran");

    private final String text;

    Verdict(String text) {
        this.text = text;
    }

    /**
     * Returns the text that is used in headers and error responses.
     *
     * @return the constant's name in lower case with hyphens, never null
     */
    public String text() {
        return text;
    }
}
