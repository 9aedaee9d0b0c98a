package org.tarragonring.objects;

import java.util.Objects;

/**
 * An object as the platform holds it.
 *
 * @param key its key, not null
 * @param version its version, 1 or more
 * @param value its bytes, not null
 * @since 0.1.0
 */
public record StoredObject(String key, long version, byte[] value) {

    /** Checks the arguments. */
    public StoredObject {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
