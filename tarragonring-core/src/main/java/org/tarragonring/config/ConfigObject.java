package org.tarragonring.config;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A configuration object, unvalidated, as written in an object file.
 *
 * @param kind the object's kind, not null
 * @param name the object's name, not null
 * @param keys the values by key, not null
 * @since 0.1.0
 */
public record ConfigObject(ObjectKind kind, String name, Map<String, String> keys) {

    /** Rejects null components and makes an immutable copy of the keys. */
    public ConfigObject {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        keys = Collections.unmodifiableMap(new TreeMap<>(keys));
    }

    /**
     * Returns the name of the object's section in an object file: its kind and its name.
     *
     * @return the section name, such as {@code model quote-writer}
     */
    @JsonIgnore
    public String section() {
        return kind.keyword() + " " + name;
    }
}
