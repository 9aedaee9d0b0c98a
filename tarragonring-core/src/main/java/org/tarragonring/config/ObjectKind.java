package org.tarragonring.config;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The kinds of objects that operators publish, with the keys each may have.
 *
 * @since 0.1.0
 */
public enum ObjectKind {
    /** A class of calls. */
    CLASS(Set.of("deadline", "priority", "repeatable", "weight"), Set.of("deadline")),
    /** A team of callers. */
    TEAM(Set.of("key-sha256"), Set.of("key-sha256")),
    /** The capacity that grants divide. */
    CAPACITY(Set.of("accelerator-bytes", "calls"), Set.of("accelerator-bytes", "calls")),
    /** A team's part of a capacity. */
    GRANT(Set.of("team", "capacity", "accelerator-bytes", "calls"), Set.of("team", "capacity", "calls")),
    /** A model. */
    MODEL(
            Set.of(
                    "teams",
                    "class",
                    "version",
                    "accelerator-bytes",
                    "adapter-pool-bytes",
                    "max-replicas",
                    "min-replicas",
                    "calls-per-replica"),
            Set.of("teams", "class", "version", "accelerator-bytes")),
    /** A version of a model. */
    VERSION(Set.of("model", "checkpoint"), Set.of("model", "checkpoint")),
    /** An adapter on a model. */
    ADAPTER(Set.of("model", "teams", "bytes"), Set.of("model", "teams", "bytes")),
    /** A plain service. */
    SERVICE(Set.of("route", "teams", "class"), Set.of("route", "teams", "class"));

    private final Set<String> keys;
    private final Set<String> required;

    ObjectKind(Set<String> keys, Set<String> required) {
        this.keys = keys;
        this.required = required;
    }

    /**
     * Finds a kind by its name in object files.
     *
     * @param text the name, not null
     * @return the kind, or empty if there is none of that name
     */
    public static Optional<ObjectKind> find(String text) {
        return Arrays.stream(values()).filter(k -> k.text().equals(text)).findFirst();
    }

    /**
     * Returns the kind's name in object files.
     *
     * @return lower-case text
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the keys that an object of this kind may have.
     *
     * @return the keys
     */
    public Set<String> keys() {
        return keys;
    }

    /**
     * Returns the keys that an object of this kind must have.
     *
     * @return the keys
     */
    public Set<String> required() {
        return required;
    }
}
