package org.tarragonring.claim;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.apache.commons.codec.digest.MurmurHash3;
import org.tarragonring.ids.TeamName;

/**
 * Names a non-idempotent call: the team and the idempotency key that it chose.
 *
 * @param team the team, not null
 * @param idempotencyKey the key, 1 to 255 printable ASCII characters; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record ClaimKey(TeamName team, String idempotencyKey) {

    /** The number of objects that claims are spread over. */
    public static final int BUCKETS = 16;

    private static final int MAX_LENGTH = 255;

    /** Checks the arguments. */
    public ClaimKey {
        Objects.requireNonNull(team, "team");
        boolean valid = idempotencyKey != null
                && !idempotencyKey.isEmpty()
                && idempotencyKey.length() <= MAX_LENGTH
                && idempotencyKey.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!valid) {
            throw new IllegalArgumentException(
                    "idempotency key is not 1 to %d printable ASCII characters".formatted(MAX_LENGTH));
        }
    }

    /**
     * Returns the bucket that holds the claim.
     *
     * @return a number from 0 to {@value #BUCKETS} - 1
     */
    public int bucket() {
        return Math.floorMod(MurmurHash3.hash32x86(text().getBytes(StandardCharsets.UTF_8)), BUCKETS);
    }

    /**
     * Returns the claim's name within its bucket.
     *
     * @return team and key
     */
    public String text() {
        return team + "/" + idempotencyKey;
    }
}
