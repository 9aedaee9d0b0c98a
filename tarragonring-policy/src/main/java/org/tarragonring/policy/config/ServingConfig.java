package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.team.TeamDirectory;

/**
 * A version of the configuration for serving calls.
 *
 * @since 0.2.0
 */
public final class ServingConfig {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceSpec> services;
    private final RequestLimits limits;
    private final Optional<TeamDirectory> teams;

    /**
     * Creates a configuration.
     *
     * @param version the version number, higher than that of any earlier configuration
     * @param routes the routes, not null
     * @param services the services by name, not null
     * @param limits the request limits, not null
     * @param teams the teams of callers, empty if calls need no keys; not null
     */
    public ServingConfig(
            long version,
            List<Route> routes,
            Map<ServiceName, ServiceSpec> services,
            RequestLimits limits,
            Optional<TeamDirectory> teams) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = Objects.requireNonNull(limits, "limits");
        this.teams = Objects.requireNonNull(teams, "teams");
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Finds the route whose path prefix is the longest match.
     *
     * @param host the requested host, case-insensitive, with or without a port; not null
     * @param path the requested path without the query, not null
     * @return the route, or empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name the service, not null
     * @return the service, or empty if the configuration has no service of that name
     */
    public Optional<ServiceSpec> findService(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds a model of a service.
     *
     * @param service the service, not null
     * @param model the model, not null
     * @return the model, or empty if the service is unknown or does not have it
     */
    public Optional<ModelSpec> findModel(ServiceName service, ModelName model) {
        return findService(service)
                .flatMap(ServiceSpec::engine)
                .map(engine -> engine.models().get(model));
    }

    /**
     * Returns the services.
     *
     * @return the services by name, never null
     */
    public Map<ServiceName, ServiceSpec> services() {
        return services;
    }

    /**
     * Returns the teams of callers.
     *
     * @return the teams, empty if calls need no keys
     */
    public Optional<TeamDirectory> teams() {
        return teams;
    }

    /**
     * Returns the routes of all hosts.
     *
     * @return the routes in no particular order, never null
     */
    public List<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns how long a stream may last on any route.
     *
     * @return the longest timeout of the routes for streams, zero if there are none
     */
    public Duration longestStreamTimeout() {
        return routes().stream()
                .filter(route -> route.kind() == RouteKind.STREAM)
                .map(Route::timeout)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the number of distinct hosts in the routes.
     *
     * @return the number of hosts
     */
    public int hostCount() {
        return routesByHost.size();
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the request limits.
     *
     * @return the limits, never null
     */
    public RequestLimits limits() {
        return limits;
    }
}
