package org.tarragonring.claim;

import java.util.Objects;

/**
 * The response to a call that ran, stored for replay to later attempts with the same idempotency key.
 *
 * @param status the HTTP status code
 * @param contentType the value of the Content-Type header, not null
 * @param body the response body, not null; the array is not copied
 * @since 0.1.0
 */
public record StoredResponse(int status, String contentType, byte[] body) {

    /** Rejects null components. */
    public StoredResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
