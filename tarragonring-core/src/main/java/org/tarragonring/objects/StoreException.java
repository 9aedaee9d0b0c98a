package org.tarragonring.objects;

import java.util.Objects;

/**
 * Thrown if a request to the platform's object store or instance list fails.
 *
 * @since 0.1.0
 */
public final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind the kind of failure, not null
     * @param message the reason of the failure, which names the key
     */
    public StoreException(Kind kind, String message) {
        this(kind, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind of failure, not null
     * @param message the reason of the failure, which names the key
     * @param cause what made the request fail, null if unknown
     * @since 0.2.0
     */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause, false, false);
        this.kind = Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns the kind of failure, which indicates whether the request may have taken effect.
     *
     * @return the kind, never null
     */
    public Kind kind() {
        return kind;
    }

    /** The kind of failure, which indicates whether the request may have taken effect. */
    public enum Kind {
        /** The object did not have the expected version; nothing was written. */
        CONFLICT,
        /** The store rejected the request or could not be reached; nothing was written. */
        UNAVAILABLE,
        /** The connection of a watch that was waiting was closed; the same revision can be watched again. */
        INTERRUPTED,
        /** The changes after the watched revision cannot be read, or are gone; the objects must be listed again. */
        HISTORY_GONE,
        /** No usable response was received; the write may have taken effect. */
        AMBIGUOUS
    }
}
