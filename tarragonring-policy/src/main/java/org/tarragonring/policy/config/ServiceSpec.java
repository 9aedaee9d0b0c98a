package org.tarragonring.policy.config;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ServiceName;

/**
 * Describes a service that calls are routed to.
 *
 * @param name the name of the service, not null
 * @param engine the models and replica capacity, empty for a service without models; not null
 * @since 0.2.0
 */
public record ServiceSpec(ServiceName name, Optional<EngineSpec> engine) {

    /** Checks the arguments. */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
    }
}
