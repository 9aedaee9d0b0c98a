package org.tarragonring.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ListedReplica;

/**
 * The external systems that a gateway uses, and the decoders of their data.
 *
 * @param store the store for persistent and shared data, not null
 * @param storeTimeout how long a request to the store waits for its response, for a watch from the end of the time
 *     for which the store holds it; not null
 * @param callCodec reads and writes the headers of calls, not null
 * @param replicaClient queries replicas and sends them orders, not null
 * @param configKey the store key of the configuration, not null
 * @param configDecoder decodes a configuration; returns empty if it cannot be read; not null
 * @param replicaPrefix the prefix of the store keys of the replica registrations, not null
 * @param replicaDecoder decodes a replica registration; returns empty for invalid objects; not null
 * @since 0.2.0
 */
public record GatewayDependencies(
        RevisionedStore store,
        Duration storeTimeout,
        CallCodec callCodec,
        ReplicaClient replicaClient,
        String configKey,
        Function<StoredObject, Optional<ServingConfig>> configDecoder,
        String replicaPrefix,
        Function<StoredObject, Optional<ListedReplica>> replicaDecoder) {

    /**
     * Returns the prefix of the store keys under which the configuration is found.
     *
     * @return the key of the configuration up to and including the slash, never null
     */
    public String configPrefix() {
        return configKey.substring(0, configKey.indexOf('/') + 1);
    }
}
