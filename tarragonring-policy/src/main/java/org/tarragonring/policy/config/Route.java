package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.ServiceName;

/**
 * Maps the calls for one host and path prefix to services and defines how they are handled.
 *
 * @param name the name of the route, not null
 * @param host the host name that callers use, not null
 * @param pathPrefix the prefix of the request paths, with a slash at both ends; not null
 * @param kind the kind of the calls, which decides whether they may be retried; not null
 * @param timeout the maximum duration of a call, not null
 * @param latencyObjective the target time until the response, or until the first event of a stream; not null
 * @param eventGapObjective the target for the longest gap between two events of a stream, not null
 * @param priority the priority of the calls, 0 is the most urgent
 * @param maxAttempts the maximum number of replicas that may run the same call
 * @param resumable whether an interrupted stream may be resumed on another replica
 * @param allowsAnonymous whether calls need no key
 * @param services the services that the calls are distributed to by weight; empty if none can be read, and then the route
 *     matches its calls so that no other route does, but they cannot be served; not null
 * @since 0.2.0
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration latencyObjective,
        Duration eventGapObjective,
        int priority,
        int maxAttempts,
        boolean resumable,
        boolean allowsAnonymous,
        List<WeightedService> services) {

    /**
     * The shortest time without an event after which callers abandon a stream. They wait longer if one of the multiples
     * of the route's objectives below is longer.
     */
    private static final Duration MIN_CALLER_WAIT = Duration.ofSeconds(2);

    /** The time that callers wait, as a multiple of the latency objective. */
    private static final int CALLER_WAIT_LATENCY_FACTOR = 4;

    /** The time that callers wait, as a multiple of the event gap objective. */
    private static final int CALLER_WAIT_EVENT_GAP_FACTOR = 8;

    /** Checks the arguments and copies the list. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(latencyObjective, "latencyObjective");
        Objects.requireNonNull(eventGapObjective, "eventGapObjective");
        services = List.copyOf(services);
    }

    /**
     * Checks if there is a service that may run the calls.
     *
     * @return false if calls must be refused
     */
    public boolean isServable() {
        return !services.isEmpty();
    }

    /**
     * Checks if a call may be run again after it may already have been run.
     *
     * @return true for idempotent calls and resumable streams
     */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns how long callers wait for the first event of a stream and for each further one.
     *
     * @return the time, never null; the timeout of the route if its calls are not streams
     */
    public Duration maxCallerWait() {
        if (kind != RouteKind.STREAM) {
            return timeout;
        }
        Duration longest = MIN_CALLER_WAIT;
        for (Duration other : List.of(
                latencyObjective.multipliedBy(CALLER_WAIT_LATENCY_FACTOR),
                eventGapObjective.multipliedBy(CALLER_WAIT_EVENT_GAP_FACTOR))) {
            longest = other.compareTo(longest) > 0 ? other : longest;
        }
        return longest;
    }

    /**
     * Selects one of the services by weight.
     *
     * @param fraction the position within the sum of all weights, from 0 inclusive to 1 exclusive; random for a split
     *     by weight
     * @return the service, never null
     * @throws IllegalStateException if the route is not servable
     */
    public ServiceName selectService(double fraction) {
        if (!isServable()) {
            throw new IllegalStateException("route \"%s\" has no service".formatted(name));
        }
        double totalWeight =
                services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = fraction * totalWeight;
        ServiceName selected = services.get(0).service();
        for (WeightedService candidate : services) {
            if (candidate.weight() > 0 && remaining >= 0) {
                selected = candidate.service();
            }
            remaining -= candidate.weight();
        }
        return selected;
    }
}
