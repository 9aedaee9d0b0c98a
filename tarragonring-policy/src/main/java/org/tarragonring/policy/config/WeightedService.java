package org.tarragonring.policy.config;

import java.util.Objects;

import org.tarragonring.ids.ServiceName;

/**
 * A service of a route with its weight in the distribution of calls.
 *
 * @param service the service, not null
 * @param weight the weight relative to the other services of the route, 0 or more
 * @since 0.2.0
 */
public record WeightedService(ServiceName service, double weight) {

    /** Checks the arguments. */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0 && weight < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("weight must be a number of 0 or more, but is %s".formatted(weight));
        }
    }
}
