package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a service, a group of upstreams that all serve the same requests.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.2.0
 */
public record ServiceName(@JsonValue String value) {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public ServiceName {
        Identifiers.requireValid("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
