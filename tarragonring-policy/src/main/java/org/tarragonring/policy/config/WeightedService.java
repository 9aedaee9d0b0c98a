package org.tarragonring.policy.config;

import java.util.Objects;

import org.tarragonring.ids.ServiceName;

/**
 * A service and its share of a route's calls.
 *
 * @param service the service, not null
 * @param weight the share, 0 or more, relative to the other services of the route
 * @since 0.2.0
 */
public record WeightedService(ServiceName service, int weight) {

    /** Checks the arguments. */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight %d is negative".formatted(weight));
        }
    }
}
