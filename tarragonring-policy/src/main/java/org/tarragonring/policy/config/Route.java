package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.ServiceName;

/**
 * Tells where calls of one host and path prefix go and how they are treated.
 *
 * @param name the route's name, not null
 * @param host the host that callers name, not null
 * @param pathPrefix the start of the paths, not null, with a slash at both ends
 * @param kind how often a call may run, not null
 * @param timeout the longest time that a call is kept, not null
 * @param objective the time within which callers want the answer, or a stream's first event; not null
 * @param priority the rank, 0 is the most urgent
 * @param maxAttempts the most replicas that may run one call
 * @param resumable whether a broken stream may go on at another replica
 * @param services where calls go, not empty
 * @since 0.2.0
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration objective,
        int priority,
        int maxAttempts,
        boolean resumable,
        List<WeightedService> services) {

    /** Checks the arguments and copies the list. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(objective, "objective");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route \"%s\" names no service".formatted(name));
        }
    }

    /**
     * Checks if a call may run more than once.
     *
     * @return true for idempotent calls and resumable streams
     */
    public boolean mayRunAgain() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Chooses one of the services by weight.
     *
     * @param point where in the sum of all weights to choose, 0 or more and less than 1
     * @return the service
     */
    public ServiceName serviceAt(double point) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
