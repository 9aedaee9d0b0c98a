package org.tarragonring.gateway.metrics;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Records counts and durations of calls, of failed attempts and of requests to the store and to replicas.
 *
 * @since 0.2.0
 */
public final class GatewayMetrics {

    /** Bucket bounds of the latency histograms, from a call that needs no model to the longest timeout of callers. */
    private static final Duration[] HISTOGRAM_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofMillis(2_500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10)
    };

    private final MeterRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry the registry that holds the meters, not null
     */
    public GatewayMetrics(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /**
     * Returns the registry for the metrics of a part of the gateway that has its own.
     *
     * @return the registry that holds the meters, never null
     */
    public MeterRegistry registry() {
        return registry;
    }

    /**
     * Records a call that has ended.
     *
     * @param route the name of the route, not null
     * @param outcome the outcome of the call, not null
     * @param durationMillis the time since the arrival of the call in milliseconds
     */
    public void recordCall(String route, String outcome, long durationMillis) {
        timer("tarragonring.calls", "outcome", outcome, "route", route).record(Duration.ofMillis(durationMillis));
    }

    /**
     * Records the latency of the first event of a stream.
     *
     * @param latencyMillis the time since the arrival of the call in milliseconds
     */
    public void recordFirstEvent(long latencyMillis) {
        timer("tarragonring.calls.first.event").record(Duration.ofMillis(latencyMillis));
    }

    /**
     * Records the waiting time of a call until an attempt to send it to a replica.
     *
     * @param waitMillis the time since the arrival of the call in milliseconds
     */
    public void recordWait(long waitMillis) {
        timer("tarragonring.calls.waited").record(Duration.ofMillis(waitMillis));
    }

    /**
     * Counts an attempt that ended without a usable response.
     *
     * @param verdict the text of the verdict on whether the attempt ran, not null
     */
    public void countFailedAttempt(String verdict) {
        registry.counter("tarragonring.attempts.failed", "verdict", verdict).increment();
    }

    /**
     * Counts a load that this entry has planned.
     *
     * @param reason the reason for the load, not null
     */
    public void countPlannedLoad(String reason) {
        registry.counter("tarragonring.loads.planned", "reason", reason).increment();
    }

    /**
     * Counts the tokens of calls for which the limit of their team was asked.
     *
     * @param team the label of the team, of which there must be few; not null
     * @param outcome what became of the tokens, not null
     * @param tokens the number of tokens
     */
    public void countQuotaTokens(String team, String outcome, long tokens) {
        registry.counter("tarragonring.quota.tokens", "team", team, "outcome", outcome)
                .increment(tokens);
    }

    /**
     * Counts a second attempt of a slow call.
     *
     * @param outcome {@code sent}, {@code won} if its response came first, or {@code lost}; not null
     */
    public void countHedge(String outcome) {
        registry.counter("tarragonring.hedges", "outcome", outcome).increment();
    }

    /**
     * Counts a slow call that got no second attempt.
     *
     * @param reason why, not null
     */
    public void countSuppressedHedge(String reason) {
        registry.counter("tarragonring.hedges.suppressed", "reason", reason).increment();
    }

    /** Counts a call that ended because its request is quarantined. */
    public void countQuarantined() {
        registry.counter("tarragonring.calls.quarantined").increment();
    }

    /** Counts a call that got another replica than it would get if all replicas had the same speed. */
    public void countUnevenPick() {
        registry.counter("tarragonring.calls.uneven.picks").increment();
    }

    /**
     * Records a request to the store or to a replica.
     *
     * @param peer {@code store} or {@code replica}, not null
     * @param request the kind of request, not null
     * @param outcome the outcome of the request, not null
     * @param durationMillis the duration of the request in milliseconds
     */
    public void recordRequest(String peer, String request, String outcome, long durationMillis) {
        timer("tarragonring.requests", "peer", peer, "request", request, "outcome", outcome)
                .record(Duration.ofMillis(durationMillis));
    }

    /**
     * Counts a request to the store by its kind.
     *
     * @param operation {@code list}, {@code read}, {@code watch}, {@code write} or {@code delete}, not null
     * @param prefix the prefix of the keys that the request concerns, not null
     */
    public void countStoreRequest(String operation, String prefix) {
        registry.counter("tarragonring.store.requests", "operation", operation, "prefix", prefix)
                .increment();
    }

    /**
     * Registers a gauge, whose value is computed each time the metrics are read.
     *
     * @param name the name of the metric, not null
     * @param value returns the current value, not null
     */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name)
                .tags(tags)
                .serviceLevelObjectives(HISTOGRAM_BUCKETS)
                .register(registry);
    }
}
