package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

/**
 * Decides how long a call waits for its model or adapter before it is refused.
 *
 * <p>Not thread-safe.
 */
final class LoadExpectation {

    /** The fraction of the first-event timeout after which a waiting call is refused if no load is expected for it. */
    private static final double CHECK_FRACTION = 0.45;

    /** The shortest time from the end of a model's load to the first event of a call. */
    private static final long MIN_LOAD_TO_FIRST_EVENT_MILLIS = 100;

    private final ReplicaCatalog catalog;
    private final MonotonicClock clock;

    LoadExpectation(ReplicaCatalog catalog, MonotonicClock clock) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns the time until the call is refused unless a load is expected. The refusal comes early enough for the caller to
     * retry; a caller that is held until its timeout does not retry.
     */
    Duration checkDelay(Exchange exchange) {
        long firstEventTimeoutMillis = exchange.firstEventDeadlineMillis - exchange.arrivalMillis;
        long checkAtMillis = exchange.arrivalMillis + (long) (firstEventTimeoutMillis * CHECK_FRACTION);
        return Duration.ofMillis(checkAtMillis - clock.millis());
    }

    /**
     * Returns whether a replica holds the model of a call, or will have loaded it in time. An adapter whose model is resident
     * is loaded soon, so a call that needs one keeps waiting.
     */
    boolean isLoadExpected(Exchange exchange) {
        WeightKey key = exchange.weights.orElseThrow();
        long latestMillis = exchange.firstEventDeadlineMillis - MIN_LOAD_TO_FIRST_EVENT_MILLIS;
        return catalog.serving(key.service()).stream()
                .filter(exchange::isContinuedBy)
                .filter(replica -> clock.millis() + replica.availability().pauseMillis() <= latestMillis)
                .anyMatch(replica -> replica.holds(key.model(), "") || isLoadedBy(replica, key, latestMillis));
    }

    private static boolean isLoadedBy(ReplicaState replica, WeightKey key, long latestMillis) {
        return replica.loading().equals(Optional.of(key.model())) && replica.expectedLoadEndMillis() <= latestMillis;
    }
}
