package org.tarragonring.objects;

import java.util.Objects;

/**
 * A record and the version of the object that stores it.
 *
 * @param <T> the record's type
 * @param version the version of the object, 0 if it does not exist
 * @param body the record, not null
 * @since 0.1.0
 */
public record Versioned<T>(long version, T body) {

    /** Rejects null components. */
    public Versioned {
        Objects.requireNonNull(body, "body");
    }
}
