package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a service, whose upstreams all answer the same requests.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.2.0
 */
public record ServiceName(@JsonValue String value) {

    /** Checks the text. */
    @JsonCreator
    public ServiceName {
        Ids.check("service name", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
