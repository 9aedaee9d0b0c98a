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
 * @param pauseObjective the longest pause between events of a stream that callers want, not null
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
        Duration pauseObjective,
        int priority,
        int maxAttempts,
        boolean resumable,
        List<WeightedService> services) {

    /** Callers abandon a stream that gives them nothing for this long, or the multiples below if they are longer. */
    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);

    private static final int PATIENCE_OBJECTIVES = 4;
    private static final int PATIENCE_PAUSES = 8;

    /** Checks the arguments and copies the list. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(objective, "objective");
        Objects.requireNonNull(pauseObjective, "pauseObjective");
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
     * Returns how long callers wait for a first event, and for each further one.
     *
     * @return the route's time-out for calls that are no stream
     */
    public Duration patience() {
        if (kind != RouteKind.STREAM) {
            return timeout;
        }
        Duration longest = MIN_PATIENCE;
        for (Duration other :
                List.of(objective.multipliedBy(PATIENCE_OBJECTIVES), pauseObjective.multipliedBy(PATIENCE_PAUSES))) {
            longest = other.compareTo(longest) > 0 ? other : longest;
        }
        return longest;
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
