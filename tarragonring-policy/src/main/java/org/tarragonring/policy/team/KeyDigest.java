package org.tarragonring.policy.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of a key.
 *
 * @param first bytes 0 to 7
 * @param second bytes 8 to 15
 * @param third bytes 16 to 23
 * @param fourth bytes 24 to 31
 * @since 0.2.0
 */
public record KeyDigest(long first, long second, long third, long fourth) {

    /**
     * Computes the digest of a key.
     *
     * @param key the key, not null
     * @return the digest, never null
     * @throws IllegalStateException if the Java platform lacks SHA-256, which every platform must have
     */
    public static KeyDigest of(ApiKey key) {
        try {
            ByteBuffer digest = ByteBuffer.wrap(
                    MessageDigest.getInstance("SHA-256").digest(key.value().getBytes(StandardCharsets.UTF_8)));
            return new KeyDigest(digest.getLong(), digest.getLong(), digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Does not show the digest, from which a short key could be found. */
    @Override
    public String toString() {
        return "KeyDigest[hidden]";
    }
}
