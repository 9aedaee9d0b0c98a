package org.tarragonring.policy.team;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.TeamName;

/**
 * The teams of one version of the configuration and their keys.
 *
 * @since 0.2.0
 */
public final class TeamDirectory {

    private final Map<TeamName, Team> teams = new HashMap<>();
    private final Map<ApiKey, Team> teamsByKey;

    /**
     * Creates a directory.
     *
     * @param teamsByKey the team of each key, not null
     */
    public TeamDirectory(Map<ApiKey, Team> teamsByKey) {
        this.teamsByKey = Map.copyOf(Objects.requireNonNull(teamsByKey, "teamsByKey"));
        this.teamsByKey.values().forEach(team -> teams.put(team.name(), team));
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key of a call, not null
     * @return the team, or empty if no team holds the key
     */
    public Optional<Team> find(ApiKey key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /**
     * Finds a team by its name.
     *
     * @param name the name, not null
     * @return the team, or empty if there is none of this name
     */
    public Optional<Team> find(TeamName name) {
        return Optional.ofNullable(teams.get(name));
    }

    /**
     * Returns all teams that hold a key.
     *
     * @return the teams in no particular order, never null
     */
    public Collection<Team> teams() {
        return Collections.unmodifiableCollection(teams.values());
    }
}
