package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a team of callers.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public TeamName {
        Identifiers.requireValid("team name", value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
