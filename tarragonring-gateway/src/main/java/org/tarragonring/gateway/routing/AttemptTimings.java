package org.tarragonring.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiConsumer;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.routing.CallProfile;
import org.tarragonring.policy.routing.ResponseTimes;
import org.tarragonring.time.MonotonicClock;

/**
 * Observes how long replicas take to respond, compared with what is usual at this entry, and collects the ratios for the
 * next report to the planning entry.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class AttemptTimings {

    /** A timing takes up about 30 bytes of a message of at most 8,192, of which demands may use 6,000. */
    private static final int MAX_TIMINGS_PER_REPORT = 50;

    /** The number of events that make one sample; fewer say little, as events arrive in bursts. */
    private static final int MIN_STEPS = 4;

    /**
     * The time that a sample of a running stream covers at least. Reading a long prompt of another call may stall a stream
     * for a quarter of a second.
     */
    private static final double MIN_RUNNING_MILLIS = 400;

    /** The same at the end of a stream, whose last part is shorter. */
    private static final double MIN_ENDED_MILLIS = 100;

    /** A first event that takes longer than this many times the usual time counts as a sample before it arrives. */
    private static final double OVERDUE_FACTOR = 3;

    /** A stall of a stream counts as a sample from this many times the usual time between events on. */
    private static final double STALL_FACTOR = 20;

    private final ResponseTimes times;
    private final MonotonicClock clock;
    private final BiConsumer<UpstreamId, Double> onPlainSample;
    private final Map<UpstreamId, Sum> sums = new HashMap<>();
    private final Set<AttemptTiming> running = new HashSet<>();

    /**
     * Creates an instance without observations.
     *
     * @param times the usual times, which the observations update, not null
     * @param clock the monotonic clock, not null
     * @param onPlainSample receives the ratio of each call of a plain service that has ended, not null
     */
    public AttemptTimings(ResponseTimes times, MonotonicClock clock, BiConsumer<UpstreamId, Double> onPlainSample) {
        this.times = Objects.requireNonNull(times, "times");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.onPlainSample = Objects.requireNonNull(onPlainSample, "onPlainSample");
    }

    /**
     * Starts to observe a call that is sent now.
     *
     * @param replica the replica, not null
     * @param call the call, not null
     * @param kind what can be observed of the call, not null
     * @param mayBeCached whether the replica may have a part of its prompt cached
     * @return the observation, never null
     */
    public AttemptTiming start(UpstreamId replica, CallProfile call, AttemptTiming.Kind kind, boolean mayBeCached) {
        AttemptTiming timing = new AttemptTiming(this, replica, call, kind, mayBeCached, clock.nanos());
        running.add(timing);
        return timing;
    }

    /**
     * Returns the observations since the last invocation, and removes them. Streams that run count, too.
     *
     * @return the mean ratio by replica, those with the most samples; never null
     */
    public List<PeerMessage.ReplicaTiming> drain() {
        running.forEach(AttemptTiming::sample);
        List<PeerMessage.ReplicaTiming> timings = new ArrayList<>();
        sums.forEach((replica, sum) ->
                timings.add(new PeerMessage.ReplicaTiming(replica, sum.count, Math.exp(sum.logRatios / sum.count))));
        sums.clear();
        timings.sort((a, b) -> Integer.compare(b.samples(), a.samples()));
        return timings.size() <= MAX_TIMINGS_PER_REPORT ? timings : timings.subList(0, MAX_TIMINGS_PER_REPORT);
    }

    void onFirstEvent(AttemptTiming timing, double elapsedMillis) {
        // The time of a prompt that may be cached says nothing of the speed, unless it is too long even without a
        // cache.
        boolean isOverdue = elapsedMillis > OVERDUE_FACTOR * usualFirstEventMillis(timing);
        if (timing.call().promptTokens() > 0 && (!timing.mayBeCached() || isOverdue)) {
            add(timing.replica(), times.recordFirstEvent(timing.call().promptTokens(), elapsedMillis));
        }
    }

    void onWaiting(AttemptTiming timing, double elapsedMillis) {
        double usualMillis = usualFirstEventMillis(timing);
        if (timing.call().promptTokens() > 0 && elapsedMillis > OVERDUE_FACTOR * usualMillis) {
            add(timing.replica(), elapsedMillis / usualMillis);
        }
    }

    /** Records the events since the last sample, and returns whether they were enough to be one. */
    boolean onSteps(AttemptTiming timing, int steps, double elapsedMillis, boolean isEnded) {
        if (elapsedMillis < (isEnded ? MIN_ENDED_MILLIS : MIN_RUNNING_MILLIS)) {
            return false;
        }
        if (steps >= MIN_STEPS) {
            add(timing.replica(), times.recordSteps(steps, elapsedMillis));
            return true;
        }
        double stalledRatio = elapsedMillis / (steps + 1) / times.stepMillis();
        if (stalledRatio > STALL_FACTOR) {
            add(timing.replica(), stalledRatio);
            return true;
        }
        return false;
    }

    void onEnded(AttemptTiming timing, boolean succeeded, double elapsedMillis, int events) {
        running.remove(timing);
        if (!succeeded) {
            return;
        }
        if (timing.kind() == AttemptTiming.Kind.MODEL_STREAM) {
            times.recordOutput(timing.call().maxOutputTokens(), events);
        } else if (timing.kind() == AttemptTiming.Kind.PLAIN && elapsedMillis > 0) {
            OptionalDouble ratio = times.recordDuration(timing.call().route(), elapsedMillis);
            ratio.ifPresent(value -> {
                add(timing.replica(), value);
                onPlainSample.accept(timing.replica(), value);
            });
        }
    }

    double millisSince(long nanos) {
        return (clock.nanos() - nanos) / (double) MonotonicClock.NANOS_PER_MILLI;
    }

    long nanos() {
        return clock.nanos();
    }

    private double usualFirstEventMillis(AttemptTiming timing) {
        return times.firstEventMillis(timing.call().promptTokens());
    }

    private void add(UpstreamId replica, double ratio) {
        Sum sum = sums.computeIfAbsent(replica, id -> new Sum());
        sum.count++;
        sum.logRatios += Math.log(ratio);
    }

    private static final class Sum {

        private int count;
        private double logRatios;
    }
}
