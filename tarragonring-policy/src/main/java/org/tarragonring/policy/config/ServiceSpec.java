package org.tarragonring.policy.config;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ServiceName;

/**
 * Describes a service.
 *
 * @param name the service, not null
 * @param engine what its replicas can hold, empty for a plain service
 * @since 0.2.0
 */
public record ServiceSpec(ServiceName name, Optional<EngineSpec> engine) {

    /** Checks the arguments. */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
    }
}
