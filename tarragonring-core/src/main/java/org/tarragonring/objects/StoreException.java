package org.tarragonring.objects;

import java.util.Objects;

/**
 * Reports that a request to the platform's store failed.
 *
 * @since 0.1.0
 */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind what is known of the request's effect, not null
     * @param message what happened, naming the key
     */
    public StoreException(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns what is known of the request's effect.
     *
     * @return the kind, never null
     */
    public Kind kind() {
        return kind;
    }

    /** What is known of a failed request's effect. */
    public enum Kind {
        /** The object had another version; nothing was written. */
        CONFLICT,
        /** The store refused or could not be reached; nothing was written. */
        UNAVAILABLE,
        /** The history that a watch asked for is gone; the objects have to be listed again. */
        HISTORY_GONE,
        /** The answer was lost; the write may have taken effect. */
        AMBIGUOUS
    }
}
