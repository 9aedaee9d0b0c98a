package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.time.MonotonicClock;

/**
 * Raises the cost of processes that were seen for the first time lately: many entries find a new replica idle at the same
 * moment, before any digest tells of the calls of the others. Not thread-safe.
 */
final class RampUp {

    private static final Duration RAMP_UP = Duration.ofSeconds(1);

    /** How many times as much a call costs at first. */
    private static final double MAX_FACTOR = 4;

    /** The number of processes after which the oldest knowledge is dropped, above the number of replicas of a fleet. */
    private static final int MAX_PROCESSES = 10_000;

    private final MonotonicClock clock;
    private final Map<UpstreamId, FirstSeen> firstSeen = new HashMap<>();

    RampUp(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns by what the cost of a call at a process is multiplied. */
    double factor(ReplicaProcess process) {
        long nowMillis = clock.millis();
        FirstSeen seen = firstSeen.get(process.replica());
        if (seen == null || seen.processStartMillis != process.startMillis()) {
            if (firstSeen.size() >= MAX_PROCESSES) {
                firstSeen.clear();
            }
            seen = new FirstSeen(process.startMillis(), nowMillis);
            firstSeen.put(process.replica(), seen);
        }
        double part = (nowMillis - seen.millis) / (double) RAMP_UP.toMillis();
        return part >= 1 ? 1 : MAX_FACTOR - (MAX_FACTOR - 1) * part;
    }

    private record FirstSeen(long processStartMillis, long millis) {}
}
