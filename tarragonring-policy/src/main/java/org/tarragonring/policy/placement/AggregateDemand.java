package org.tarragonring.policy.placement;

import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * The demand for one model, summed over all entries.
 *
 * @param model the model, not null
 * @param waitingCalls the number of calls that wait until the model is resident on some replica
 * @param runningCalls the number of calls that are running on replicas
 * @param callsPerSecond the rate of arrivals in the last seconds
 * @param recentCalls the number of calls in the time that {@link ServiceDemand#observedSeconds()} covers; older calls count
 *     less
 * @param slackMillis the time that the most urgent waiting call has left until its latency objective; negative if
 *     the objective is already missed, {@link Long#MAX_VALUE} if no call waits
 * @since 0.2.0
 */
public record AggregateDemand(
        ModelName model,
        int waitingCalls,
        int runningCalls,
        double callsPerSecond,
        double recentCalls,
        long slackMillis) {

    /** Checks the arguments. */
    public AggregateDemand {
        Objects.requireNonNull(model, "model");
    }

    /**
     * Returns the demand for a model that has no calls.
     *
     * @param model the model, not null
     * @return zero demand, never null
     */
    public static AggregateDemand none(ModelName model) {
        return new AggregateDemand(model, 0, 0, 0, 0, Long.MAX_VALUE);
    }
}
