package org.tarragonring.ids;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.regex.Pattern;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Identifies the content of a request, or of a part of its prompt that other requests share. A caller that sends a
 * request again uses another call id, but the fingerprint stays the same.
 *
 * @param value hexadecimal digits in lower case, not empty; the constructor throws {@link IllegalArgumentException} for
 *     any other value, including null
 * @since 0.2.0
 */
public record RequestFingerprint(String value) {

    /** The length of computed fingerprints: half of a SHA-256 hash. */
    private static final int LENGTH = 32;

    private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-f]+");

    /** Rejects a text that is not a hexadecimal number. */
    public RequestFingerprint {
        if (value == null || !HEXADECIMAL.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "request fingerprint \"%s\" is not a hexadecimal number".formatted(value));
        }
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param method the HTTP method, not null
     * @param host the host that the request addresses, empty if requests are not distinguished by host; not null
     * @param uri the path with the query, not null
     * @param body the request body, not null
     * @return the fingerprint, never null
     */
    public static RequestFingerprint of(String method, String host, String uri, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update("%s %s%s\n".formatted(method, host, uri).getBytes(StandardCharsets.UTF_8));
        return new RequestFingerprint(Hex.encodeHexString(digest.digest(body)).substring(0, LENGTH));
    }

    /**
     * Computes the fingerprint of a part of prompts.
     *
     * @param id the id of the part, not null
     * @return the fingerprint, never null; differs from those of requests
     */
    public static RequestFingerprint ofPromptPart(String id) {
        return new RequestFingerprint(
                DigestUtils.sha256Hex("prompt part\n" + id).substring(0, LENGTH));
    }

    @Override
    public String toString() {
        return value;
    }
}
