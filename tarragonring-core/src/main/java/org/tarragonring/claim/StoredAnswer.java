package org.tarragonring.claim;

import java.util.Objects;

/**
 * The answer to a call that ran.
 *
 * @param status the HTTP status
 * @param contentType the content type, not null
 * @param body the body, not null
 * @since 0.1.0
 */
public record StoredAnswer(int status, String contentType, byte[] body) {

    /** Checks the arguments. */
    public StoredAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
