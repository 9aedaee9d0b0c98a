package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one process of this system.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record EntryId(@JsonValue String value) implements Comparable<EntryId> {

    /** Checks the text. */
    @JsonCreator
    public EntryId {
        Ids.check("entry id", value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
