package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one call of a caller throughout the system.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record CallId(@JsonValue String value) implements Comparable<CallId> {

    /** Checks the text. */
    @JsonCreator
    public CallId {
        Ids.check("call id", value);
    }

    @Override
    public int compareTo(CallId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
