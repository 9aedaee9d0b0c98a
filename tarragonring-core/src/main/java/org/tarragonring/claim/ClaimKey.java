package org.tarragonring.claim;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import org.apache.commons.codec.digest.MurmurHash3;
import org.tarragonring.ids.TeamName;

/**
 * Identifies a non-idempotent call by its team and the idempotency key that the team chose.
 *
 * @param team the team, not null
 * @param idempotencyKey the key, 1 to 255 printable ASCII characters; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record ClaimKey(TeamName team, String idempotencyKey) {

    /** The number of buckets, each stored as one object, over which claims are distributed. */
    public static final int BUCKET_COUNT = 16;

    private static final int MAX_KEY_LENGTH = 255;

    /** Rejects a null team and an invalid key. */
    public ClaimKey {
        Objects.requireNonNull(team, "team");
        boolean valid = idempotencyKey != null
                && !idempotencyKey.isEmpty()
                && idempotencyKey.length() <= MAX_KEY_LENGTH
                && idempotencyKey.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!valid) {
            throw new IllegalArgumentException(
                    "idempotency key is not 1 to %d printable ASCII characters".formatted(MAX_KEY_LENGTH));
        }
    }

    /**
     * Returns the number of the bucket that stores the claim.
     *
     * @return the number from 0 to {@value #BUCKET_COUNT} - 1
     */
    public int bucket() {
        return Math.floorMod(MurmurHash3.hash32x86(recordKey().getBytes(StandardCharsets.UTF_8)), BUCKET_COUNT);
    }

    /**
     * Returns the key of the claim within its bucket.
     *
     * @return the team and the idempotency key, separated by a slash; never null
     */
    public String recordKey() {
        return team + "/" + idempotencyKey;
    }
}
