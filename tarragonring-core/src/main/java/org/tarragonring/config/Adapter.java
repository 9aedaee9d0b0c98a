package org.tarragonring.config;

import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;

/**
 * An adapter, called by its own name and served by replicas of its base model.
 *
 * @param name its name, not null
 * @param model its base model, not null
 * @param teams who may call it, not null
 * @param bytes the memory it takes in the adapter pool
 * @since 0.1.0
 */
public record Adapter(ModelName name, ModelName model, Set<TeamName> teams, long bytes) {

    /** Copies the set. */
    public Adapter {
        teams = Set.copyOf(teams);
    }
}
