package org.tarragonring.config;

import java.util.Set;

import org.tarragonring.ids.TeamName;

/**
 * A plain service: an HTTP service that is not a model engine, to which calls are routed by path prefix.
 *
 * @param name the service's name in the instance list, not null
 * @param route the path prefix of its calls, such as {@code /bookings}, not null
 * @param teams the teams that may call the service, not null
 * @param callClass the class of the service's calls, not null
 * @since 0.1.0
 */
public record PlainService(String name, String route, Set<TeamName> teams, CallClass callClass) {

    /** Makes an immutable copy of the set. */
    public PlainService {
        teams = Set.copyOf(teams);
    }
}
