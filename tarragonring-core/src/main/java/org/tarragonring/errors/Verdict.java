package org.tarragonring.errors;

/**
 * Says whether a request that failed may have run on an upstream.
 *
 * @since 0.1.0
 */
public enum Verdict {
    /** The request did not run; it may be sent again. */
    NOT_RUN("not-run"),
    /** The request may have run; only an idempotent one may be sent again. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran. */
    RAN("ran");

    private final String text;

    Verdict(String text) {
        this.text = text;
    }

    /**
     * Returns the verdict's name in headers and error bodies.
     *
     * @return lower-case text with hyphens, never null
     */
    public String text() {
        return text;
    }
}
