package org.tarragonring.config;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The kinds of configuration objects, with the keys that an object of each kind may and must have.
 *
 * @since 0.1.0
 */
public enum ObjectKind {
    /** A class of calls. */
    CLASS(Set.of("deadline", "priority", "repeatable", "weight"), Set.of("deadline")),
    /** A team of callers. */
    TEAM(Set.of("key-sha256"), Set.of("key-sha256")),
    /** A capacity of accelerator memory and concurrent calls, which grants divide among teams. */
    CAPACITY(Set.of("accelerator-bytes", "calls"), Set.of("accelerator-bytes", "calls")),
    /** The share of a capacity that a team may use. */
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
    /** An adapter of a model. */
    ADAPTER(Set.of("model", "teams", "bytes"), Set.of("model", "teams", "bytes")),
    /** A plain service: a routed HTTP service that is not a model engine. */
    SERVICE(Set.of("route", "teams", "class"), Set.of("route", "teams", "class"));

    private final Set<String> allowedKeys;
    private final Set<String> requiredKeys;

    ObjectKind(Set<String> allowedKeys, Set<String> requiredKeys) {
        this.allowedKeys = allowedKeys;
        this.requiredKeys = requiredKeys;
    }

    /**
     * Finds a kind by its keyword.
     *
     * @param keyword the keyword that starts a section name in object files, not null
     * @return the kind, or empty if no kind has this keyword
     */
    public static Optional<ObjectKind> fromKeyword(String keyword) {
        return Arrays.stream(values()).filter(k -> k.keyword().equals(keyword)).findFirst();
    }

    /**
     * Returns the keyword that starts the section names of this kind in object files.
     *
     * @return the kind's name in lower case
     */
    public String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the keys that an object of this kind may have, including the required ones.
     *
     * @return the allowed keys
     */
    public Set<String> allowedKeys() {
        return allowedKeys;
    }

    /**
     * Returns the keys that an object of this kind must have.
     *
     * @return the required keys
     */
    public Set<String> requiredKeys() {
        return requiredKeys;
    }
}
