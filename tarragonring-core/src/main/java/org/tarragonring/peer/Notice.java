package org.tarragonring.peer;

import java.util.Objects;

/**
 * A short-lived piece of information that is disseminated to all entries.
 *
 * @param kind the kind of notice, not null
 * @param subject the upstream, not null
 * @param sequence a number that increases with each notice published by the same entry
 * @param remainingMillis the remaining validity in milliseconds
 * @since 0.1.0
 */
public record Notice(Kind kind, String subject, long sequence, long remainingMillis) {

    /** Rejects null components. */
    public Notice {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(subject, "subject");
    }

    /** The kind of a notice; kinds are sent as ordinals, so the order of the constants is part of the wire format. */
    public enum Kind {
        /** No longer sent; {@link PeerMessage.FailureReport} replaces it. Kept because kinds are sent as ordinals. */
        SUSPECT_REQUEST,
        /** An upstream is leaving; the subject names it. */
        LEAVING_UPSTREAM
    }
}
