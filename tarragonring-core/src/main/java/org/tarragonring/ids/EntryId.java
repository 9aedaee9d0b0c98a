package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry, one of the processes between callers and upstreams.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record EntryId(@JsonValue String value) implements Comparable<EntryId> {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public EntryId {
        Identifiers.requireValid("entry id", value);
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
