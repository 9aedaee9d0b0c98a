package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

/**
 * Decides how long a call waits for its model or adapter before it is refused.
 *
 * <p>Not thread-safe.
 */
final class LoadExpectation {

    /** The time in which a load that a call needs is planned and announced. */
    private static final Duration PLANNING_TIME = Duration.ofMillis(300);

    /** The shortest time from the end of a model's load to the first event of a call. */
    private static final long MIN_LOAD_TO_FIRST_EVENT_MILLIS = 100;

    private final ReplicaCatalog catalog;
    private final MonotonicClock clock;
    private final BiFunction<ServiceName, ModelName, Optional<ModelSpec>> modelSpec;

    LoadExpectation(
            ReplicaCatalog catalog,
            MonotonicClock clock,
            BiFunction<ServiceName, ModelName, Optional<ModelSpec>> modelSpec) {
        this.modelSpec = Objects.requireNonNull(modelSpec, "modelSpec");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns the time until the call is refused unless a load is expected: until a load from a local checkpoint that begins
     * then could not serve it within its objective. The refusal comes early enough for the caller to retry.
     */
    Duration checkDelay(Exchange exchange) {
        long swapMillis = exchange.weights
                .flatMap(key -> modelSpec.apply(key.service(), key.model()))
                .map(spec -> spec.diskLoadTime().toMillis())
                .orElse(0L);
        long objectiveMillis =
                exchange.arrivalMillis + exchange.route.latencyObjective().toMillis();
        long checkAtMillis = Math.max(
                exchange.arrivalMillis + PLANNING_TIME.toMillis(),
                Math.min(objectiveMillis, exchange.firstEventDeadlineMillis) - swapMillis);
        return Duration.ofMillis(Math.max(0, checkAtMillis - clock.millis()));
    }

    /**
     * Returns whether a call goes on waiting: its response has begun, or a replica holds its model or will have loaded it in
     * time. An adapter whose model is resident is loaded soon, so a call that needs one keeps waiting.
     */
    boolean mayWait(Exchange exchange) {
        return exchange.responseStarted || isLoadExpected(exchange);
    }

    private boolean isLoadExpected(Exchange exchange) {
        WeightKey key = exchange.weights.orElseThrow();
        long latestMillis = exchange.firstEventDeadlineMillis - MIN_LOAD_TO_FIRST_EVENT_MILLIS;
        return catalog.serving(key.service()).stream()
                .filter(exchange::isContinuedBy)
                .filter(replica -> clock.millis() + replica.availability().pauseMillis() <= latestMillis)
                .anyMatch(replica -> replica.holds(key.model(), "") || isLoadedBy(replica, key, latestMillis));
    }

    /** Returns the reason for the refusal of a call for which no load is expected. */
    static String refusalReason(Exchange exchange) {
        WeightKey key = exchange.weights.orElseThrow();
        return "no load in progress for model %s %s".formatted(key.model(), key.adapter());
    }

    private static boolean isLoadedBy(ReplicaState replica, WeightKey key, long latestMillis) {
        return replica.loading().equals(Optional.of(key.model())) && replica.expectedLoadEndMillis() <= latestMillis;
    }
}
