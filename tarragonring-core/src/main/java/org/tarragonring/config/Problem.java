package org.tarragonring.config;

import java.util.Objects;

/**
 * A problem with a configuration object or a setting.
 *
 * @param file the file name, not null; empty if the object was not read from a file
 * @param section the name of the section, not null; empty if the problem concerns the whole file
 * @param key the key, not null; empty if the problem concerns the whole section
 * @param message the description of the problem, not null
 * @since 0.1.0
 */
public record Problem(String file, String section, String key, String message) {

    /** Rejects null components. */
    public Problem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        if (!file.isEmpty()) {
            text.append(file).append(": ");
        }
        if (!section.isEmpty()) {
            text.append('[').append(section).append("] ");
        }
        if (!key.isEmpty()) {
            text.append(key).append(": ");
        }
        return text.append(message).toString();
    }
}
