package org.tarragonring.config;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One object as an operator wrote it.
 *
 * @param kind its kind, not null
 * @param name its name, not null
 * @param keys its keys and values, not null
 * @since 0.1.0
 */
public record ConfigObject(ObjectKind kind, String name, Map<String, String> keys) {

    /** Copies the keys. */
    public ConfigObject {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        keys = Collections.unmodifiableMap(new TreeMap<>(keys));
    }

    /**
     * Returns the object's name with its kind, as it heads its section.
     *
     * @return such as {@code model quote-writer}
     */
    @JsonIgnore
    public String section() {
        return kind.text() + " " + name;
    }
}
