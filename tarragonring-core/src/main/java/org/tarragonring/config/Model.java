package org.tarragonring.config;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;

/**
 * A model that teams may call.
 *
 * @param name its name, not null
 * @param teams who may call it, not null
 * @param callClass the class of its calls, not null
 * @param version the version to serve, not null
 * @param acceleratorBytes the memory that a replica takes, its adapter pool included
 * @param minReplicas the replicas that are always kept
 * @param maxReplicas the most replicas that may be decided
 * @param callsPerReplica the calls that a replica runs at once without slowing down
 * @since 0.1.0
 */
public record Model(
        ModelName name,
        Set<TeamName> teams,
        CallClass callClass,
        String version,
        long acceleratorBytes,
        int minReplicas,
        int maxReplicas,
        int callsPerReplica) {

    /** Copies the set. */
    public Model {
        Objects.requireNonNull(name, "name");
        teams = Set.copyOf(teams);
    }
}
