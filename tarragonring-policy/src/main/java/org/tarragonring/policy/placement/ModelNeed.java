package org.tarragonring.policy.placement;

import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * How much all entries together need a model.
 *
 * @param model the model, not null
 * @param waiting the calls that wait until it is resident somewhere
 * @param running the calls that replicas run
 * @param callsPerSecond the recent rate of arrivals
 * @param slackMillis the time that the most urgent waiting call has left until its objective; may be negative
 * @since 0.2.0
 */
public record ModelNeed(ModelName model, int waiting, int running, double callsPerSecond, long slackMillis) {

    /** Checks the arguments. */
    public ModelNeed {
        Objects.requireNonNull(model, "model");
    }

    /**
     * Describes a model that nobody asks for.
     *
     * @param model the model, not null
     * @return a need of zero
     */
    public static ModelNeed none(ModelName model) {
        return new ModelNeed(model, 0, 0, 0, Long.MAX_VALUE);
    }
}
