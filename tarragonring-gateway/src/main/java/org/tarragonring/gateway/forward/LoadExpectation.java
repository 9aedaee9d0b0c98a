package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Decides how long a call waits for its model or adapter before it is refused. Of several loads of a model that are in
 * progress or possible, the one that ends first counts.
 *
 * <p>Not thread-safe.
 */
final class LoadExpectation {

    /** The time in which a load that a call needs is planned and announced. */
    private static final Duration PLANNING_TIME = Duration.ofMillis(300);

    /** The fraction of the first-event timeout after which a waiting call is refused unless a load is in progress. */
    private static final double MAX_WAIT_FRACTION = 0.45;

    /**
     * How often it is checked, where the configuration has teams, whether no load can serve a waiting call. A period of the
     * planner and the delays of its messages: calls that are refused earlier are not seen to wait, and nothing is loaded.
     */
    private static final Duration EARLY_CHECK_PERIOD = Duration.ofMillis(150);

    /** The shortest time from the end of a model's load to the first event of a call. */
    private static final long MIN_LOAD_TO_FIRST_EVENT_MILLIS = 100;

    private final ReplicaCatalog catalog;
    private final MonotonicClock clock;
    private final Timers timers;
    private final BiFunction<ServiceName, ModelName, Optional<ModelSpec>> modelSpec;

    LoadExpectation(
            ReplicaCatalog catalog,
            MonotonicClock clock,
            Timers timers,
            BiFunction<ServiceName, ModelName, Optional<ModelSpec>> modelSpec) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.modelSpec = Objects.requireNonNull(modelSpec, "modelSpec");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Checks a waiting call twice, and has it refused once it is known that it cannot be served. If a load in progress ends
     * too late, and another replica can load the model in time, it is checked once more when that load has been planned.
     *
     * @param exchange the call
     * @param isWaiting returns whether it still waits
     * @param refuse refuses it, with the given reason
     */
    void scheduleChecks(Exchange exchange, Predicate<Exchange> isWaiting, Consumer<String> refuse) {
        scheduleCheck(exchange, firstCheckDelay(exchange), isWaiting.and(call -> !canBeServed(call)), refuse);
        timers.schedule(lastCheckDelay(exchange), () -> {
            Predicate<Exchange> isRefused = isWaiting.and(call -> !isLoadExpected(call));
            Duration delay = isRefused.test(exchange) ? soonerLoadDelay(exchange) : Duration.ZERO;
            if (delay.isZero()) {
                refuseIf(isRefused, exchange, refuse);
            } else {
                scheduleCheck(exchange, delay, isRefused, refuse);
            }
        });
        if (exchange.fairCall.isPresent()) {
            scheduleEarlyChecks(exchange, isWaiting, refuse);
        }
    }

    private void scheduleEarlyChecks(Exchange exchange, Predicate<Exchange> isWaiting, Consumer<String> refuse) {
        scheduleCheck(exchange, EARLY_CHECK_PERIOD, isWaiting.and(this::isTooLateForAnyLoad), refuse);
        timers.schedule(EARLY_CHECK_PERIOD, () -> {
            if (isWaiting.test(exchange)) {
                scheduleEarlyChecks(exchange, isWaiting, refuse);
            }
        });
    }

    /** Returns whether neither a replica can have loaded the model of a call in time, nor a new load from the weight store. */
    boolean isTooLateForAnyLoad(Exchange exchange) {
        long storeLoadMillis = loadMillis(exchange, ModelSpec::storeLoadTime);
        long latestMillis = exchange.firstEventDeadlineMillis - MIN_LOAD_TO_FIRST_EVENT_MILLIS;
        return clock.millis() + storeLoadMillis > latestMillis && !canBeServed(exchange);
    }

    private void scheduleCheck(
            Exchange exchange, Duration delay, Predicate<Exchange> isRefused, Consumer<String> refuse) {
        timers.schedule(delay, () -> refuseIf(isRefused, exchange, refuse));
    }

    private static void refuseIf(Predicate<Exchange> isRefused, Exchange exchange, Consumer<String> refuse) {
        if (isRefused.test(exchange)) {
            WeightKey key = exchange.weights.orElseThrow();
            refuse.accept("no load in progress for model %s %s".formatted(key.model(), key.adapter()));
        }
    }

    /**
     * Returns how long a call behind a load that ends too late waits until a sooner load from a local checkpoint must have
     * been planned.
     *
     * @return the time, zero if no load is in progress or no replica can load the model in time
     */
    Duration soonerLoadDelay(Exchange exchange) {
        if (!anyReplica(exchange, (replica, key, latestMillis) -> isLoading(replica, key))) {
            return Duration.ZERO;
        }
        WeightKey key = exchange.weights.orElseThrow();
        long latestPlanMillis = latestMillis(exchange) - swapMillis(exchange);
        OptionalLong plannedByMillis = replicas(exchange)
                .filter(replica ->
                        replica.nearestTier(key.model()) != CheckpointTier.REMOTE && !isLoading(replica, key))
                .mapToLong(replica -> freeAtMillis(replica) + PLANNING_TIME.toMillis())
                .filter(millis -> millis <= latestPlanMillis)
                .min();
        return plannedByMillis.isPresent() ? until(plannedByMillis.getAsLong()) : Duration.ZERO;
    }

    /**
     * Returns the time until the first check of a waiting call: until a load from a local checkpoint that begins then could
     * not serve it within its objective.
     */
    Duration firstCheckDelay(Exchange exchange) {
        long objectiveMillis =
                exchange.arrivalMillis + exchange.route.latencyObjective().toMillis();
        return until(Math.min(
                lastCheckMillis(exchange),
                Math.max(exchange.arrivalMillis + PLANNING_TIME.toMillis(), objectiveMillis - swapMillis(exchange))));
    }

    /**
     * Returns the time until the last check of a waiting call. A refusal then comes early enough for the caller to retry;
     * a caller that is held until its timeout does not retry.
     */
    private Duration lastCheckDelay(Exchange exchange) {
        return until(lastCheckMillis(exchange));
    }

    /**
     * Returns whether a call goes on waiting after its first check: its response has begun, or a replica can have loaded
     * its model in time.
     */
    boolean canBeServed(Exchange exchange) {
        return exchange.responseStarted
                || anyReplica(exchange, (replica, key, latestMillis) -> {
                    boolean hasCheckpoint = replica.nearestTier(key.model()) != CheckpointTier.REMOTE;
                    return isHeldOrLoadedBy(replica, key, latestMillis)
                            || hasCheckpoint && freeAtMillis(replica) + swapMillis(exchange) <= latestMillis;
                });
    }

    /**
     * Returns whether a call goes on waiting after its last check: its response has begun, or a replica holds its model or
     * will have loaded it in time. An adapter whose model is resident is loaded soon, so a call that needs one keeps waiting.
     */
    boolean isLoadExpected(Exchange exchange) {
        return exchange.responseStarted || anyReplica(exchange, LoadExpectation::isHeldOrLoadedBy);
    }

    private boolean anyReplica(Exchange exchange, ReplicaCheck check) {
        WeightKey key = exchange.weights.orElseThrow();
        long latestMillis = latestMillis(exchange);
        return replicas(exchange).anyMatch(replica -> check.test(replica, key, latestMillis));
    }

    /** Returns the replicas that may run a call before it is too late. */
    private Stream<ReplicaState> replicas(Exchange exchange) {
        long latestMillis = latestMillis(exchange);
        return catalog.serving(exchange.weights.orElseThrow().service()).stream()
                .filter(exchange::isContinuedBy)
                .filter(replica -> clock.millis() + replica.availability().pauseMillis() <= latestMillis);
    }

    private static long latestMillis(Exchange exchange) {
        return exchange.firstEventDeadlineMillis - MIN_LOAD_TO_FIRST_EVENT_MILLIS;
    }

    private long freeAtMillis(ReplicaState replica) {
        return replica.loading().isPresent() ? replica.expectedLoadEndMillis() : clock.millis();
    }

    private static boolean isLoading(ReplicaState replica, WeightKey key) {
        return replica.loading().equals(Optional.of(key.model()));
    }

    private static boolean isHeldOrLoadedBy(ReplicaState replica, WeightKey key, long latestMillis) {
        return replica.holds(key.model(), "")
                || isLoading(replica, key) && replica.expectedLoadEndMillis() <= latestMillis;
    }

    private long lastCheckMillis(Exchange exchange) {
        long firstEventTimeoutMillis = exchange.firstEventDeadlineMillis - exchange.arrivalMillis;
        return exchange.arrivalMillis + (long) (firstEventTimeoutMillis * MAX_WAIT_FRACTION);
    }

    private long swapMillis(Exchange exchange) {
        return loadMillis(exchange, ModelSpec::diskLoadTime);
    }

    private long loadMillis(Exchange exchange, Function<ModelSpec, Duration> loadTime) {
        return exchange.weights
                .flatMap(key -> modelSpec.apply(key.service(), key.model()))
                .map(spec -> loadTime.apply(spec).toMillis())
                .orElse(0L);
    }

    private Duration until(long millis) {
        return Duration.ofMillis(Math.max(0, millis - clock.millis()));
    }

    /** Checks whether a replica serves the weights by a time on the monotonic clock. */
    @FunctionalInterface
    private interface ReplicaCheck {

        boolean test(ReplicaState replica, WeightKey key, long latestMillis);
    }
}
