package org.tarragonring.gateway.metrics;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counts what happens to calls, orders and requests to the store, and how long they take.
 *
 * @since 0.2.0
 */
public final class GatewayMetrics {

    /** The bounds of the latency histograms, from a plain call to the longest patience of callers. */
    private static final Duration[] BOUNDS = {
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
     * Creates metrics.
     *
     * @param registry keeps them, not null
     */
    public GatewayMetrics(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /**
     * Counts a call that ended.
     *
     * @param route the route's name, not null
     * @param outcome how it ended, not null
     * @param millis the time since its arrival
     */
    public void callEnded(String route, String outcome, long millis) {
        timer("tarragonring.calls", "outcome", outcome, "route", route).record(Duration.ofMillis(millis));
    }

    /**
     * Notes when the first event of a stream was passed on.
     *
     * @param millis the time since the call's arrival
     */
    public void firstEvent(long millis) {
        timer("tarragonring.calls.first.event").record(Duration.ofMillis(millis));
    }

    /**
     * Notes how long a call waited until it was sent to a replica.
     *
     * @param millis the time since its arrival
     */
    public void sent(long millis) {
        timer("tarragonring.calls.waited").record(Duration.ofMillis(millis));
    }

    /**
     * Counts an attempt without a usable answer.
     *
     * @param verdict whether it may have run, not null
     */
    public void attemptFailed(String verdict) {
        registry.counter("tarragonring.attempts.failed", "verdict", verdict).increment();
    }

    /**
     * Counts a request to the store or a replica.
     *
     * @param peer {@code store} or {@code replica}, not null
     * @param request the kind of request, not null
     * @param outcome how it ended, not null
     * @param millis the time it took
     */
    public void requested(String peer, String request, String outcome, long millis) {
        timer("tarragonring.requests", "peer", peer, "request", request, "outcome", outcome)
                .record(Duration.ofMillis(millis));
    }

    /**
     * Adds a value that is read when metrics are.
     *
     * @param name the metric's name, not null
     * @param value gives the value, not null
     */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name).tags(tags).serviceLevelObjectives(BOUNDS).register(registry);
    }
}
