package org.tarragonring.ids;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an upstream: an instance of a model engine or of a plain service.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}, starting with a letter or digit; the
 *     constructor throws {@link IllegalArgumentException} for any other value, including null
 * @since 0.1.0
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {

    /** Rejects a text that is not a valid identifier. */
    @JsonCreator
    public UpstreamId {
        Identifiers.requireValid("upstream id", value);
    }

    /**
     * Parses an identifier that others have written.
     *
     * @param text the text, may be null
     * @return the identifier, or empty if the text is no valid one
     * @since 0.2.0
     */
    public static Optional<UpstreamId> parse(String text) {
        return Identifiers.isValid(text) ? Optional.of(new UpstreamId(text)) : Optional.empty();
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
