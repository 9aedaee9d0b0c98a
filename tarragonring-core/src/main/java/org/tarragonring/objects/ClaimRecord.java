package org.tarragonring.objects;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Claims of non-idempotent calls, many to an object.
 *
 * @param claims the claims by team and idempotency key, not null
 * @since 0.1.0
 */
public record ClaimRecord(Map<String, Claim> claims) {

    /** Copies the map. */
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
     * One claim.
     *
     * @param claimant the attempt that owns the one send, not null
     * @param fingerprint the hash of the request, not null
     * @param expiresAtMillis when the claim may be forgotten, in epoch milliseconds
     * @param released whether the claimant's attempt is known not to have run, so that another may claim
     * @param status the stored answer's HTTP status, 0 while there is none
     * @param contentType the stored answer's content type, null while there is none
     * @param body the stored answer, null while there is none
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
