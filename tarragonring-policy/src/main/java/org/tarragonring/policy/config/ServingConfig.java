package org.tarragonring.policy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ServiceName;

/**
 * One version of the configuration that calls are served by.
 *
 * @since 0.2.0
 */
public final class ServingConfig {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceSpec> services;
    private final RequestLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version the version, higher than those before
     * @param routes the routes, not null
     * @param services the services by name, not null
     * @param limits the limits of requests, not null
     */
    public ServingConfig(
            long version, List<Route> routes, Map<ServiceName, ServiceSpec> services, RequestLimits limits) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = Objects.requireNonNull(limits, "limits");
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
     * Finds the route with the longest prefix of a path.
     *
     * @param host the host that the caller names, with or without a port, in any case; not null
     * @param path the path without a query, not null
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
     * @return the service, or empty if the configuration has none of that name
     */
    public Optional<ServiceSpec> findService(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the services.
     *
     * @return the services by name
     */
    public Map<ServiceName, ServiceSpec> services() {
        return services;
    }

    /**
     * Returns how many hosts the routes name.
     *
     * @return a count
     */
    public int hosts() {
        return routesByHost.size();
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits of requests.
     *
     * @return the limits, never null
     */
    public RequestLimits limits() {
        return limits;
    }
}
