package org.tarragonring.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/** Learns how long the calls of each route run, and estimates how much longer those on a replica will. */
final class RunTimes {

    /** The weight of the newest run in the mean. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** What is assumed of a route without a finished run. */
    private static final double FIRST_MILLIS = 800;

    /** What is assumed of a run that already took longer than the mean. */
    private static final long OVERDUE_MILLIS = 250;

    private final MonotonicClock clock;
    private final Map<String, Double> meanMillis = new HashMap<>();
    private final Map<UpstreamId, Map<Exchange, Long>> started = new HashMap<>();

    RunTimes(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    void started(UpstreamId replica, Exchange exchange) {
        started.computeIfAbsent(replica, id -> new HashMap<>()).put(exchange, clock.millis());
    }

    /** Notes the end of a run; only those that succeeded tell how long runs take. */
    void ended(UpstreamId replica, Exchange exchange, boolean succeeded) {
        Map<Exchange, Long> runs = started.get(replica);
        Long since = runs == null ? null : runs.remove(exchange);
        if (runs != null && runs.isEmpty()) {
            started.remove(replica);
        }
        if (since != null && succeeded) {
            double millis = clock.millis() - since;
            meanMillis.merge(exchange.route.name(), millis, (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
        }
    }

    /** Returns how long the last of a model's calls on a replica is expected to run on. */
    long residualMillis(UpstreamId replica, ModelName model) {
        long now = clock.millis();
        long longest = 0;
        for (Map.Entry<Exchange, Long> run :
                started.getOrDefault(replica, Map.of()).entrySet()) {
            Exchange exchange = run.getKey();
            if (exchange.weights.map(WeightKey::model).filter(model::equals).isPresent()) {
                double mean = meanMillis.getOrDefault(exchange.route.name(), FIRST_MILLIS);
                long left = (long) mean - (now - run.getValue());
                longest = Math.max(longest, Math.max(OVERDUE_MILLIS, left));
            }
        }
        return longest;
    }
}
