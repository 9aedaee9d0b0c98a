package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a team of callers.
 *
 * @param value the text, 1 to 200 characters of which none is a control character, not blank; the constructor throws
 *     {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

    /** Rejects a text that is not a valid name. */
    @JsonCreator
    public TeamName {
        Identifiers.requireName("team name", value);
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
