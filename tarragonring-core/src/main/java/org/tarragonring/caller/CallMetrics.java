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
 * Counts calls and their outcomes.
 *
 * @since 0.1.0
 */
public final class CallMetrics {

    private final MeterRegistry registry;
    private final Map<String, Timer> firstAnswers = new ConcurrentHashMap<>();
    private final Map<String, Counter> counters = new ConcurrentHashMap<>();

    /**
     * Creates metrics.
     *
     * @param registry where they are kept, not null
     */
    public CallMetrics(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /**
     * Counts a call that was accepted.
     *
     * @param callClass the call's class, not null
     */
    public void accepted(String callClass) {
        counter("tarragonring.calls.accepted", "class", callClass).increment();
    }

    /**
     * Counts a call that ended with its whole answer.
     *
     * @param callClass the call's class, not null
     */
    public void answered(String callClass) {
        counter("tarragonring.calls.answered", "class", callClass).increment();
    }

    /**
     * Counts a call that was refused or failed.
     *
     * @param reason why, not null
     */
    public void refused(RefusalReason reason) {
        counter("tarragonring.calls.refused", "reason", reason.code()).increment();
    }

    /**
     * Counts a request to an upstream.
     *
     * @param kind {@code first}, {@code retry} or {@code resume}, not null
     */
    public void sent(String kind) {
        counter("tarragonring.upstream.requests", "kind", kind).increment();
    }

    /**
     * Records the time from a call's arrival to its first answer.
     *
     * @param callClass the call's class, not null
     * @param took the time, not null
     */
    public void firstAnswer(String callClass, Duration took) {
        firstAnswers
                .computeIfAbsent(
                        callClass,
                        key -> Timer.builder("tarragonring.calls.first.answer")
                                .tag("class", key)
                                .publishPercentileHistogram()
                                .register(registry))
                .record(took);
    }

    private Counter counter(String name, String tag, String value) {
        return counters.computeIfAbsent(name + "/" + value, key -> registry.counter(name, tag, value));
    }
}
