package org.tarragonring.config;

import java.util.Set;

import org.tarragonring.ids.TeamName;

/**
 * A plain service.
 *
 * @param name its name as in the instance list, not null
 * @param route the start of the paths that lead to it, not null
 * @param teams who may call it, not null
 * @param callClass the class of its calls, not null
 * @since 0.1.0
 */
public record PlainService(String name, String route, Set<TeamName> teams, CallClass callClass) {

    /** Copies the set. */
    public PlainService {
        teams = Set.copyOf(teams);
    }
}
