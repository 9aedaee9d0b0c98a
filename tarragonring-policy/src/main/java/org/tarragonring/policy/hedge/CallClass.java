package org.tarragonring.policy.hedge;

import java.util.Objects;

import org.tarragonring.ids.ServiceName;

/**
 * Calls that take about the same time to respond to: those of one route and service, and of similar size.
 *
 * @param service the service that runs the calls, not null
 * @param route the name of the route, not null
 * @param sizeClass the number of binary digits of the prompt's number of tokens, 0 if it is not known
 * @since 0.2.0
 */
public record CallClass(ServiceName service, String route, int sizeClass) {

    /** Rejects null. */
    public CallClass {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(route, "route");
    }

    /**
     * Returns the class of a call.
     *
     * @param service the service that runs the call, not null
     * @param route the name of the route, not null
     * @param promptTokens the number of tokens of the prompt, 0 if it is not known
     * @return the class, never null
     */
    public static CallClass of(ServiceName service, String route, long promptTokens) {
        return new CallClass(service, route, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, promptTokens)));
    }
}
