package org.tarragonring.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps calls away from upstreams that fail, for longer the more often they do, and lets one call at a time try
 * them again.
 *
 * @since 0.1.0
 */
public final class Ejections {

    private static final int FAILURES_BEFORE_EJECTION = 2;
    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 5;

    private final MonotonicClock clock;
    private final Map<UpstreamId, State> states = new ConcurrentHashMap<>();

    /**
     * Creates an empty list.
     *
     * @param clock the monotonic clock, not null
     */
    public Ejections(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Checks if an upstream may get a call.
     *
     * @param upstream the upstream, not null
     * @return false while it is ejected
     */
    public boolean mayGetCall(UpstreamId upstream) {
        State state = states.get(upstream);
        return state == null || clock.millis() >= state.untilMillis;
    }

    /**
     * Counts a call that the upstream answered.
     *
     * @param upstream the upstream, not null
     */
    public void succeeded(UpstreamId upstream) {
        if (states.containsKey(upstream)) {
            states.remove(upstream);
        }
    }

    /**
     * Counts a call that failed through the upstream's fault.
     *
     * @param upstream the upstream, not null
     */
    public void failed(UpstreamId upstream) {
        states.compute(upstream, (id, old) -> next(id, old == null ? 1 : old.failures + 1));
    }

    /**
     * Counts an upstream that could not be reached, which needs no second try to be believed.
     *
     * @param upstream the upstream, not null
     */
    public void unreachable(UpstreamId upstream) {
        states.compute(
                upstream,
                (id, old) -> next(id, Math.max(FAILURES_BEFORE_EJECTION, old == null ? 0 : old.failures + 1)));
    }

    private State next(UpstreamId upstream, int failures) {
        if (failures < FAILURES_BEFORE_EJECTION) {
            return new State(failures, Long.MIN_VALUE);
        }
        int doublings = Math.min(failures - FAILURES_BEFORE_EJECTION, MAX_DOUBLINGS);
        long ejectionMillis = FIRST_EJECTION.toMillis() << doublings;
        LogEvent.UPSTREAM_EJECTED.log(upstream, ejectionMillis, failures);
        return new State(failures, clock.millis() + ejectionMillis);
    }

    private record State(int failures, long untilMillis) {}
}
