package org.tarragonring.placement;

import java.time.Duration;

/**
 * Decides how long an idle model stays loaded.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface IdlePolicy {

    /**
     * Returns how long a model stays loaded after its last call.
     *
     * @param history the model's earlier idle periods, not null
     * @param reload the expected duration of a reload, not null
     * @param weight the cost of a delayed call, relative to other call classes
     * @return the idle timeout, never null; a very long one if the model is never to be unloaded for being idle
     */
    Duration idleTimeout(IdlePeriodHistory history, Duration reload, int weight);

    /**
     * Returns a policy with the same idle timeout for every model.
     *
     * @param timeout the idle timeout, not null
     * @return the policy
     */
    static IdlePolicy fixed(Duration timeout) {
        return (history, reload, weight) -> timeout;
    }

    /**
     * Returns a policy that in practice never unloads idle models; its idle timeout is 365 days.
     *
     * @return the policy
     */
    static IdlePolicy never() {
        return fixed(Duration.ofDays(365));
    }
}
