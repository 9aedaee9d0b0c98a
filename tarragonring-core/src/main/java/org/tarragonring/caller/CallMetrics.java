package org.tarragonring.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.tarragonring.errors.RefusalReason;

/**
 * Records metrics of calls and their outcomes.
 *
 * @since 0.1.0
 */
public final class CallMetrics {

    private final MeterRegistry registry;
    private final Map<String, Timer> firstResponseTimers = new ConcurrentHashMap<>();
    private final Map<String, Counter> counters = new ConcurrentHashMap<>();

    /**
     * Creates the metrics.
     *
     * @param registry the registry in which the meters are registered, not null
     */
    public CallMetrics(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /**
     * Counts an accepted call.
     *
     * @param callClass the name of the call class, not null
     */
    public void recordAccepted(String callClass) {
        counter("tarragonring.calls.accepted", "class", callClass).increment();
    }

    /**
     * Counts a call that ended with a complete response.
     *
     * @param callClass the name of the call class, not null
     */
    public void recordCompleted(String callClass) {
        counter("tarragonring.calls.answered", "class", callClass).increment();
    }

    /**
     * Counts a call that was refused or failed.
     *
     * @param reason the reason, not null
     */
    public void recordRefused(RefusalReason reason) {
        counter("tarragonring.calls.refused", "reason", reason.code()).increment();
    }

    /**
     * Counts a request to an upstream.
     *
     * @param kind {@code first} for a call's first attempt, {@code retry} for a later one, {@code resume} for one that
     *     continues a stream; not null
     */
    public void recordUpstreamRequest(String kind) {
        counter("tarragonring.upstream.requests", "kind", kind).increment();
    }

    /**
     * Records the time from a call's arrival to the start of its response.
     *
     * @param callClass the name of the call class, not null
     * @param elapsed the time, not null
     */
    public void recordFirstResponse(String callClass, Duration elapsed) {
        firstResponseTimers
                .computeIfAbsent(
                        callClass,
                        key -> Timer.builder("tarragonring.calls.first.answer")
                                .tag("class", key)
                                .publishPercentileHistogram()
                                .register(registry))
                .record(elapsed);
    }

    private Counter counter(String name, String tag, String value) {
        return counters.computeIfAbsent(name + "/" + value, key -> registry.counter(name, tag, value));
    }
}
