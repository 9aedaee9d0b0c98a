package org.tarragonring.policy.team;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.TeamName;

/**
 * The teams of one version of the configuration and their keys.
 *
 * <p>Holds digests of the keys, not the keys. A lookup is one probe of a hash table; the digests are compared as a whole,
 * so that the time of a lookup tells nothing about the keys. 10,000 keys take less than 2 MB.
 *
 * @since 0.2.0
 */
public final class TeamDirectory {

    private final Map<TeamName, Team> teams;
    private final Map<KeyDigest, Team> teamsByKey;
    private final Set<KeyDigest> keysWithoutTeam;

    /**
     * Creates a directory of teams with at least one key each.
     *
     * @param teamsByKey the team of each key, not null
     */
    public TeamDirectory(Map<ApiKey, Team> teamsByKey) {
        this(teamsByKey.values(), digests(teamsByKey));
    }

    /**
     * Creates a directory of teams that can all be read.
     *
     * @param teams the teams, also those without a key; not null
     * @param teamsByKey the team of the digest of each key, not null
     */
    public TeamDirectory(Collection<Team> teams, Map<KeyDigest, Team> teamsByKey) {
        this(teams, teamsByKey, Set.of());
    }

    /**
     * Creates a directory.
     *
     * @param teams the teams, also those without a key; not null
     * @param teamsByKey the team of the digest of each key, not null
     * @param keysWithoutTeam the digests of the keys of teams that cannot be read, not null
     */
    public TeamDirectory(Collection<Team> teams, Map<KeyDigest, Team> teamsByKey, Set<KeyDigest> keysWithoutTeam) {
        Map<TeamName, Team> teamsByName = new HashMap<>();
        teams.forEach(team -> teamsByName.put(team.name(), team));
        this.teams = Map.copyOf(teamsByName);
        this.teamsByKey = Map.copyOf(Objects.requireNonNull(teamsByKey, "teamsByKey"));
        this.keysWithoutTeam = Set.copyOf(Objects.requireNonNull(keysWithoutTeam, "keysWithoutTeam"));
    }

    private static Map<KeyDigest, Team> digests(Map<ApiKey, Team> teamsByKey) {
        Map<KeyDigest, Team> digests = new HashMap<>();
        teamsByKey.forEach((key, team) -> digests.put(KeyDigest.of(key), team));
        return digests;
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key of a call, not null
     * @return the team, or empty if no team holds the key
     */
    public Optional<Team> find(ApiKey key) {
        return Optional.ofNullable(teamsByKey.get(KeyDigest.of(key)));
    }

    /**
     * Checks if a key is valid although the team that holds it cannot be read.
     *
     * @param key the key of a call, not null
     * @return true if calls with the key are neither to be served nor to be taken for calls with an unknown key
     */
    public boolean isKeyWithoutTeam(ApiKey key) {
        return !keysWithoutTeam.isEmpty() && keysWithoutTeam.contains(KeyDigest.of(key));
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
     * Returns the teams.
     *
     * @return the teams, also those without a key; never null
     */
    public Collection<Team> teams() {
        return teams.values();
    }

    /**
     * Returns the number of keys of all teams.
     *
     * @return the number of keys
     */
    public int keyCount() {
        return teamsByKey.size();
    }
}
