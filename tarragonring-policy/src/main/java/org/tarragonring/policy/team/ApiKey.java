package org.tarragonring.policy.team;

import java.util.Objects;

/**
 * The key of a call as its caller sent it. Its text representation does not contain the key, so that no log does.
 *
 * @param value the key, not null
 * @since 0.2.0
 */
public record ApiKey(String value) {

    /** Rejects null. */
    public ApiKey {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return "ApiKey[hidden]";
    }
}
