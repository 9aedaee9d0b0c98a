package org.tarragonring.objects;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds claims of calls that are not idempotent. One stored object holds many claims.
 *
 * <p>A claim allows one attempt to send the call upstream and then stores the response for later requests with the same
 * idempotency key.
 *
 * @param claims the claims by team and idempotency key, not null
 * @since 0.1.0
 */
public record ClaimRecord(Map<String, Claim> claims) {

    /** Makes an immutable copy of the map. */
    public ClaimRecord {
        claims = Collections.unmodifiableMap(new TreeMap<>(claims));
    }

    /**
     * Returns a record without claims.
     *
     * @return the record
     */
    public static ClaimRecord empty() {
        return new ClaimRecord(Map.of());
    }

    /**
     * The claim of one call.
     *
     * @param claimant the attempt that may send the call, not null
     * @param fingerprint the hash of the request, which detects reuse of the key for another request; not null
     * @param expiresAtMillis the time from which the claim may be removed, in epoch milliseconds
     * @param released whether the claimant's attempt is known not to have run, so that another may claim the call
     * @param status the HTTP status of the stored response, 0 if there is no response yet
     * @param contentType the content type of the stored response, null if there is no response yet
     * @param body the body of the stored response, null if there is no response yet
     */
    public record Claim(
            String claimant,
            String fingerprint,
            long expiresAtMillis,
            boolean released,
            int status,
            String contentType,
            byte[] body) {}
}
