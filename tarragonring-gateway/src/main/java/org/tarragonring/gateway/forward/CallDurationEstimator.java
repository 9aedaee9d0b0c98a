package org.tarragonring.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/** Estimates how much longer the calls on a replica will run, from the mean duration of earlier calls per route. */
final class CallDurationEstimator {

    /** The weight of the newest run in the exponentially weighted mean. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The assumed duration for a route on which no call has finished yet. */
    private static final double DEFAULT_DURATION_MILLIS = 800;

    /** The least assumed remaining time, also for a call that already exceeds the mean duration. */
    private static final long MIN_ESTIMATE_MILLIS = 250;

    /** By how much the longest duration shrinks with each shorter run, so that it follows what runs now. */
    private static final double LONGEST_DECAY = 0.98;

    private final MonotonicClock clock;
    private final Map<String, Double> longestMillis = new HashMap<>();
    private final Map<String, Double> meanMillis = new HashMap<>();
    private final Map<UpstreamId, Map<Exchange, Long>> startMillisByReplica = new HashMap<>();

    CallDurationEstimator(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    void onStarted(UpstreamId replica, Exchange exchange) {
        startMillisByReplica.computeIfAbsent(replica, id -> new HashMap<>()).put(exchange, clock.millis());
    }

    /** Records the end of an attempt. Only successful attempts count towards the mean duration. */
    void onEnded(UpstreamId replica, Exchange exchange, boolean succeeded) {
        Map<Exchange, Long> runs = startMillisByReplica.get(replica);
        Long startMillis = runs == null ? null : runs.remove(exchange);
        if (runs != null && runs.isEmpty()) {
            startMillisByReplica.remove(replica);
        }
        if (startMillis != null && succeeded) {
            double durationMillis = clock.millis() - startMillis;
            meanMillis.merge(
                    exchange.route.name(), durationMillis, (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
            longestMillis.merge(
                    exchange.route.name(), durationMillis, (old, newest) -> Math.max(newest, old * LONGEST_DECAY));
        }
    }

    /** Returns how long the longest of the recent runs of a route took, empty if none has finished yet. */
    OptionalLong longestMillis(String route) {
        Double millis = longestMillis.get(route);
        return millis == null ? OptionalLong.empty() : OptionalLong.of((long) Math.ceil(millis));
    }

    /** Returns the expected milliseconds until the last running call of a model on a replica ends, 0 if none runs. */
    long estimateRemainingMillis(UpstreamId replica, ModelName model) {
        long now = clock.millis();
        long longest = 0;
        for (Map.Entry<Exchange, Long> run :
                startMillisByReplica.getOrDefault(replica, Map.of()).entrySet()) {
            Exchange exchange = run.getKey();
            if (exchange.weights.map(WeightKey::model).filter(model::equals).isPresent()) {
                double mean = meanMillis.getOrDefault(exchange.route.name(), DEFAULT_DURATION_MILLIS);
                long remainingMillis = (long) mean - (now - run.getValue());
                longest = Math.max(longest, Math.max(MIN_ESTIMATE_MILLIS, remainingMillis));
            }
        }
        return longest;
    }
}
