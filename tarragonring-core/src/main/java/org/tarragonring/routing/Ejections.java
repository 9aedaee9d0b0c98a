package org.tarragonring.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.time.MonotonicClock;

/**
 * Ejects upstreams that fail repeatedly, so that they get no calls for some time. An upstream that fails again after
 * its ejection is ejected again, each time for twice as long up to a limit, until a call succeeds. Thread-safe.
 *
 * @since 0.1.0
 */
public final class Ejections {

    private static final int FAILURES_BEFORE_EJECTION = 2;
    private static final Duration INITIAL_EJECTION_DURATION = Duration.ofMillis(500);
    private static final int MAX_EJECTION_DOUBLINGS = 5;

    private final MonotonicClock clock;
    private final Map<UpstreamId, FailureState> states = new ConcurrentHashMap<>();

    /**
     * Creates an instance without ejected upstreams.
     *
     * @param clock the monotonic clock, not null
     */
    public Ejections(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Checks whether an upstream may get calls.
     *
     * @param upstream the upstream, not null
     * @return false while the upstream is ejected
     */
    public boolean isAvailable(UpstreamId upstream) {
        FailureState state = states.get(upstream);
        return state == null || clock.millis() >= state.ejectedUntilMillis;
    }

    /**
     * Records a call to which the upstream responded, and discards its earlier failures.
     *
     * @param upstream the upstream, not null
     */
    public void recordSuccess(UpstreamId upstream) {
        if (states.containsKey(upstream)) {
            states.remove(upstream);
        }
    }

    /**
     * Records a call that failed because of the upstream, and ejects the upstream from the second failure in a row on.
     *
     * @param upstream the upstream, not null
     */
    public void recordFailure(UpstreamId upstream) {
        states.compute(upstream, (id, previous) -> next(id, previous == null ? 1 : previous.failures + 1));
    }

    /**
     * Records that an upstream could not be reached, and ejects it without waiting for a second failure.
     *
     * @param upstream the upstream, not null
     */
    public void recordUnreachable(UpstreamId upstream) {
        states.compute(
                upstream,
                (id, previous) ->
                        next(id, Math.max(FAILURES_BEFORE_EJECTION, previous == null ? 0 : previous.failures + 1)));
    }

    private FailureState next(UpstreamId upstream, int failures) {
        if (failures < FAILURES_BEFORE_EJECTION) {
            return new FailureState(failures, Long.MIN_VALUE);
        }
        int doublings = Math.min(failures - FAILURES_BEFORE_EJECTION, MAX_EJECTION_DOUBLINGS);
        long ejectionMillis = INITIAL_EJECTION_DURATION.toMillis() << doublings;
        LogEvent.UPSTREAM_EJECTED.log(upstream, ejectionMillis, failures);
        return new FailureState(failures, clock.millis() + ejectionMillis);
    }

    private record FailureState(int failures, long ejectedUntilMillis) {}
}
