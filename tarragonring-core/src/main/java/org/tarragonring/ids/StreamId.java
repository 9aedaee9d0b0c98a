package org.tarragonring.ids;

/**
 * Identifies a stream by the id that its caller gave to the call that got the first event. Callers choose these ids: any
 * text that an HTTP header carries is valid and is compared as it came.
 *
 * @param value the text, at least one character; the constructor throws {@link IllegalArgumentException} for null and an
 *     empty text
 * @since 0.2.0
 */
public record StreamId(String value) {

    /** Rejects a text without characters. */
    public StreamId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("stream id is null or empty, expected at least one character");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
