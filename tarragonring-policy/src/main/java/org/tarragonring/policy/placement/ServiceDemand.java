package org.tarragonring.policy.placement;

import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.ModelName;

/**
 * The demand for the models of one service, summed over all entries.
 *
 * @param byModel the demand by model, not null; models without calls may be missing
 * @param observedSeconds the time that the recent calls in it cover, 0 before the first call
 * @since 0.2.0
 */
public record ServiceDemand(Map<ModelName, AggregateDemand> byModel, double observedSeconds) {

    /** Checks the arguments and copies the map. */
    public ServiceDemand {
        byModel = Map.copyOf(Objects.requireNonNull(byModel, "byModel"));
    }

    /**
     * Returns the demand for a model.
     *
     * @param model the model, not null
     * @return its demand, zero if there is none; never null
     */
    public AggregateDemand of(ModelName model) {
        return byModel.getOrDefault(model, AggregateDemand.none(model));
    }

    /**
     * Returns the rate of all calls.
     *
     * @return calls per second
     */
    public double callsPerSecond() {
        return byModel.values().stream()
                .mapToDouble(AggregateDemand::callsPerSecond)
                .sum();
    }
}
