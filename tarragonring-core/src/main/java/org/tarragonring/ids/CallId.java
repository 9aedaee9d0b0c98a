package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one call of a caller in all processes of the system.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record CallId(@JsonValue String value) implements Comparable<CallId> {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public CallId {
        Identifiers.requireValid("call id", value);
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
