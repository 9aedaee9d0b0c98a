package org.tarragonring.peer;

import java.util.Objects;

/**
 * Something that every entry should know for a while.
 *
 * @param kind what it is about, not null
 * @param subject the fingerprint or upstream concerned, not null
 * @param sequence tells notices about the same subject apart; a later one overrides
 * @param remainingMillis for how long it holds
 * @since 0.1.0
 */
public record Notice(Kind kind, String subject, long sequence, long remainingMillis) {

    /** Checks the arguments. */
    public Notice {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(subject, "subject");
    }

    /** What a notice is about. */
    public enum Kind {
        /** A request broke one upstream. */
        SUSPECT_REQUEST,
        /** An upstream is leaving. */
        LEAVING_UPSTREAM
    }
}
