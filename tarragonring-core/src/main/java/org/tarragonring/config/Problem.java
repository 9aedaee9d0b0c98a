package org.tarragonring.config;

import java.util.Objects;

/**
 * Something wrong with an object or a setting.
 *
 * @param file the file, not null; empty if the object did not come from a file
 * @param section the section, not null
 * @param key the key, not null; empty if the whole section is meant
 * @param message what is wrong, not null
 * @since 0.1.0
 */
public record Problem(String file, String section, String key, String message) {

    /** Checks the arguments. */
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
