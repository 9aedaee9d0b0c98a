package org.tarragonring.policy.routing;

import java.util.Objects;

/**
 * Computes how long a call is expected to take at a replica.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ExpectedCompletion {

    /**
     * The number of calls in flight at which an engine takes twice as long as when idle. Lower than engines need by
     * themselves, because a call also delays those that run beside it.
     */
    private static final double CROWDING_CALLS = 4;

    /** The assumed number of generated tokens of a call that does not tell a maximum. */
    private static final long DEFAULT_OUTPUT_TOKENS = 100;

    /** The part of the time that a full plain service instance adds before calls queue; decides between idle ones. */
    private static final double PLAIN_CROWDING = 0.3;

    /** The part of the tokens of a cached prompt that need not be computed again; the end of a prompt is always new. */
    private static final double CACHED_PART = 0.9;

    /** The part of the objective up to which a first event is certain enough to be in time. */
    private static final double SAFE_OBJECTIVE_PART = 0.5;

    /** The cost of a millisecond beyond that: the value of a call is lost if its first event is late. */
    private static final double LATE_COST = 2;

    private final ResponseTimes times;

    /**
     * Creates an instance.
     *
     * @param times the usual times of responses, not null
     */
    public ExpectedCompletion(ResponseTimes times) {
        this.times = Objects.requireNonNull(times, "times");
    }

    /**
     * Returns the expected time to the first event of a stream.
     *
     * @param call the call, not null
     * @param at the replica for the call, not null
     * @return the time in milliseconds
     */
    public double firstEventMillis(CallProfile call, Target at) {
        double cached = call.promptParts().isEmpty()
                ? 0
                : CACHED_PART * at.cachedParts / call.promptParts().size();
        return times.firstEventMillis(call.promptTokens() * (1 - cached)) * crowding(at) / at.speed;
    }

    /**
     * Returns the cost of sending a call to an engine: the expected time until it ends, and more if its first event may
     * miss the objective.
     *
     * @param call the call, not null
     * @param at the replica for the call, not null
     * @return the cost in milliseconds
     */
    public double engineCost(CallProfile call, Target at) {
        double firstEventMillis = firstEventMillis(call, at);
        long maxOutputTokens = call.maxOutputTokens() > 0 ? call.maxOutputTokens() : DEFAULT_OUTPUT_TOKENS;
        double streamMillis = times.outputEvents(maxOutputTokens) * times.stepMillis() * crowding(at) / at.speed;
        double queuedMillis = (firstEventMillis + streamMillis) * Math.max(0, at.loadCalls + 1 - at.slots) / at.slots;
        double lateMillis = Math.max(0, firstEventMillis + queuedMillis - SAFE_OBJECTIVE_PART * call.objectiveMillis());
        return firstEventMillis + streamMillis + queuedMillis + LATE_COST * lateMillis;
    }

    /**
     * Returns the cost of sending a call to an instance of a plain service: the expected wait and run.
     *
     * @param call the call, not null
     * @param at the replica for the call, not null
     * @return the cost in milliseconds
     */
    public double plainCost(CallProfile call, Target at) {
        double runMillis = times.durationMillis(call.route()) / at.speed;
        double queued = Math.max(0, at.loadCalls + 1 - at.slots) / (double) at.slots;
        return runMillis * (1 + queued + PLAIN_CROWDING * at.loadCalls / at.slots);
    }

    private static double crowding(Target at) {
        return 1 + at.loadCalls / CROWDING_CALLS;
    }

    /**
     * A replica to which a call may be sent.
     *
     * @param loadCalls the number of calls of all entries that it runs, 0 or more
     * @param slots the number of calls that it runs at the same time, 1 or more
     * @param speed its speed relative to the usual one, above 0
     * @param cachedParts the number of parts of the call's prompt that it probably has cached, 0 or more
     */
    public record Target(int loadCalls, int slots, double speed, int cachedParts) {

        /** Validates the components. */
        public Target {
            if (loadCalls < 0 || slots < 1 || !(speed > 0) || cachedParts < 0) {
                throw new IllegalArgumentException("load %d, slots %d, speed %s and cached parts %d are not valid"
                        .formatted(loadCalls, slots, speed, cachedParts));
            }
        }
    }
}
