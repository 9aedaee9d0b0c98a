package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a model that teams may call.
 *
 * @param value the text, 1 to 200 letters, digits and {@code . _ : @ -}; the constructor throws
 *     {@link IllegalArgumentException} for anything else, null included
 * @since 0.1.0
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

    /** Checks the text. */
    @JsonCreator
    public ModelName {
        Ids.check("model name", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
