package org.tarragonring.objects;

import java.util.Objects;

/**
 * An object in the platform's object store.
 *
 * @param key the key, not null
 * @param version the version, 1 or more
 * @param value the content, not null
 * @since 0.1.0
 */
public record StoredObject(String key, long version, byte[] value) {

    /** Rejects null components. */
    public StoredObject {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
