package org.tarragonring.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Learns how long responses usually take at this entry's replicas: the time for each prompt token, for each event of a
 * stream, and for the calls of each route of a plain service.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ResponseTimes {

    /** What the users state of their engines, used until responses were seen. */
    private static final double DEFAULT_PROMPT_TOKENS_PER_MILLI = 38.7;

    /** What the users state of their engines for one decode step at little load. */
    private static final double DEFAULT_STEP_MILLIS = 5.5;

    /** The part of the time to the first event that does not depend on the prompt: connection and network. */
    private static final double FIRST_EVENT_OVERHEAD_MILLIS = 10;

    /** The assumed part of the maximum of output tokens that calls use. */
    private static final double DEFAULT_OUTPUT_PART = 0.5;

    /** The assumed duration of a call of a route on which none has ended. */
    private static final double DEFAULT_DURATION_MILLIS = 50;

    /** The number of samples as which a default counts. */
    private static final int PRIOR_SAMPLES = 10;

    /** The number of calls of a route from which on a duration can be compared with the others. */
    private static final int MIN_DURATIONS = 5;

    private final LearnedMean prefillScale = new LearnedMean(PRIOR_SAMPLES, 0);
    private final LearnedMean stepScale = new LearnedMean(PRIOR_SAMPLES, 0);
    private final LearnedMean outputPart = new LearnedMean(PRIOR_SAMPLES, DEFAULT_OUTPUT_PART);
    private final Map<String, LearnedMean> logDurations = new HashMap<>();

    /**
     * Returns the usual time to the first event.
     *
     * @param promptTokens the number of prompt tokens that are not cached at the replica
     * @return the time in milliseconds
     */
    public double firstEventMillis(double promptTokens) {
        return (FIRST_EVENT_OVERHEAD_MILLIS + promptTokens / DEFAULT_PROMPT_TOKENS_PER_MILLI)
                * Math.exp(prefillScale.mean);
    }

    /**
     * Returns the usual time between two events of a stream.
     *
     * @return the time in milliseconds
     */
    public double stepMillis() {
        return DEFAULT_STEP_MILLIS * Math.exp(stepScale.mean);
    }

    /**
     * Returns the expected number of events of a stream.
     *
     * @param maxOutputTokens the maximum number of generated tokens
     * @return the expected number
     */
    public double outputEvents(long maxOutputTokens) {
        return maxOutputTokens * outputPart.mean;
    }

    /**
     * Returns the usual duration of a call of a plain service.
     *
     * @param route the name of the route, not null
     * @return the time in milliseconds
     */
    public double durationMillis(String route) {
        LearnedMean mean = logDurations.get(route);
        return mean == null ? DEFAULT_DURATION_MILLIS : Math.exp(mean.mean);
    }

    /**
     * Records the time to a first event.
     *
     * @param promptTokens the number of prompt tokens, none of them known to be cached
     * @param elapsedMillis the time since the call was sent, above 0
     * @return the time as a multiple of the usual one before
     */
    public double recordFirstEvent(double promptTokens, double elapsedMillis) {
        double ratio = elapsedMillis / firstEventMillis(promptTokens);
        prefillScale.add(prefillScale.mean + Math.log(ratio));
        return ratio;
    }

    /**
     * Records the time of some events of a stream.
     *
     * @param steps the number of events, 1 or more
     * @param elapsedMillis the time since the event before them, above 0
     * @return the time as a multiple of the usual one before
     */
    public double recordSteps(int steps, double elapsedMillis) {
        double ratio = elapsedMillis / steps / stepMillis();
        stepScale.add(stepScale.mean + Math.log(ratio));
        return ratio;
    }

    /**
     * Records how many events a complete stream had.
     *
     * @param maxOutputTokens the maximum number of generated tokens; not recorded if 0
     * @param events the number of events
     */
    public void recordOutput(long maxOutputTokens, int events) {
        if (maxOutputTokens > 0) {
            outputPart.add(Math.min(1, events / (double) maxOutputTokens));
        }
    }

    /**
     * Records the duration of a call of a plain service.
     *
     * @param route the name of the route, not null
     * @param elapsedMillis the time since the call was sent, above 0
     * @return the duration as a multiple of the usual one before; empty if too few calls have ended yet
     */
    public OptionalDouble recordDuration(String route, double elapsedMillis) {
        LearnedMean mean = logDurations.computeIfAbsent(route, name -> new LearnedMean(0, 0));
        OptionalDouble ratio = mean.samples < MIN_DURATIONS
                ? OptionalDouble.empty()
                : OptionalDouble.of(elapsedMillis / Math.exp(mean.mean));
        mean.add(Math.log(elapsedMillis));
        return ratio;
    }

    /** The mean of about the last hundred samples. */
    private static final class LearnedMean {

        private static final int MAX_SAMPLES = 100;

        private double mean;
        private int samples;

        LearnedMean(int samples, double mean) {
            this.samples = samples;
            this.mean = mean;
        }

        void add(double value) {
            samples = Math.min(MAX_SAMPLES, samples + 1);
            mean += (value - mean) / samples;
        }
    }
}
