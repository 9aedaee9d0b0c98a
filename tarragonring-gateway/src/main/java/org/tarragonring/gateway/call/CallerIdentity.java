package org.tarragonring.gateway.call;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.TeamName;

/**
 * What a replica is told about the caller of a call.
 *
 * @param teamsConfigured whether the configuration has teams; if so, neither the key nor a team named by the caller reaches
 *     the replica
 * @param team the team that holds the caller's key, empty for an anonymous call; not null
 * @since 0.2.0
 */
public record CallerIdentity(boolean teamsConfigured, Optional<TeamName> team) {

    /** The identity of all callers where the configuration has no teams. */
    public static final CallerIdentity WITHOUT_TEAMS = new CallerIdentity(false, Optional.empty());

    /** Rejects null. */
    public CallerIdentity {
        Objects.requireNonNull(team, "team");
    }
}
