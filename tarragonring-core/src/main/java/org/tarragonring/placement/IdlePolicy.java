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
     * Returns how long a model is kept after its last call.
     *
     * @param gaps the quiet spells that the model had before, not null
     * @param reload how long a reload is expected to take, not null
     * @param weight how much a late call costs, relative to other classes
     * @return the time to keep it; a very long one for ever
     */
    Duration keepFor(GapHistory gaps, Duration reload, int weight);

    /**
     * Keeps every model for the same time.
     *
     * @param idle the time, not null
     * @return the policy
     */
    static IdlePolicy fixed(Duration idle) {
        return (gaps, reload, weight) -> idle;
    }

    /**
     * Never unloads for idleness.
     *
     * @return the policy
     */
    static IdlePolicy never() {
        return fixed(Duration.ofDays(365));
    }
}
