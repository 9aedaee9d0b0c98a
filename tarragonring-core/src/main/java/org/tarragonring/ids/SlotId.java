package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a slot, the place of one model replica on an upstream. It is never reused for another replica.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record SlotId(@JsonValue String value) implements Comparable<SlotId> {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public SlotId {
        Identifiers.requireValid("slot id", value);
    }

    @Override
    public int compareTo(SlotId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
