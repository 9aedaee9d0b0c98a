package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one placement of a model on an upstream; never used again for another placement.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record SlotId(@JsonValue String value) implements Comparable<SlotId> {

    /** Checks the text. */
    @JsonCreator
    public SlotId {
        Ids.check("slot id", value);
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
