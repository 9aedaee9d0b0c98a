package org.tarragonring.policy.team;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.quota.QuotaLimit;

/**
 * A team of callers.
 *
 * @param name the name of the team, not null
 * @param priority the priority of its calls, which goes before that of their routes; 0 is the most urgent
 * @param quota the limit of what the team may use, empty for no limit; not null
 * @since 0.2.0
 */
public record Team(TeamName name, int priority, Optional<QuotaLimit> quota) {

    /** Rejects null. */
    public Team {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(quota, "quota");
    }
}
