package org.tarragonring.config;

import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;

/**
 * An adapter of a base model. Callers address it by its own name; replicas of the base model serve it.
 *
 * @param name the adapter's name, not null
 * @param model the name of the base model, not null
 * @param teams the teams that may call the adapter, not null
 * @param bytes the memory that the adapter uses in the adapter pool, in bytes
 * @since 0.1.0
 */
public record Adapter(ModelName name, ModelName model, Set<TeamName> teams, long bytes) {

    /** Makes an immutable copy of the set. */
    public Adapter {
        teams = Set.copyOf(teams);
    }
}
