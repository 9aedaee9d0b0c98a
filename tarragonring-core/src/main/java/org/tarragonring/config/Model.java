package org.tarragonring.config;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;

/**
 * A model that teams may call, and the limits on its replicas.
 *
 * @param name the model's name, not null
 * @param teams the teams that may call the model, not null
 * @param callClass the class of the model's calls, not null
 * @param version the version to load and serve, not null
 * @param acceleratorBytes the accelerator memory that a replica uses, including its adapter pool, in bytes
 * @param minReplicas the number of replicas to keep loaded at all times
 * @param maxReplicas the maximum number of replicas
 * @param callsPerReplica the number of concurrent calls that a replica serves without slowing down
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

    /** Rejects a null name and makes an immutable copy of the set. */
    public Model {
        Objects.requireNonNull(name, "name");
        teams = Set.copyOf(teams);
    }
}
