package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a service, a group of upstreams that all serve the same requests.
 *
 * @param value the text, 1 to 200 characters of which none is a control character, not blank; the constructor throws
 *     {@link IllegalArgumentException} for any other value, including null
 * @since 0.2.0
 */
public record ServiceName(@JsonValue String value) {

    /** Rejects a text that is not a valid name. */
    @JsonCreator
    public ServiceName {
        Identifiers.requireName("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
