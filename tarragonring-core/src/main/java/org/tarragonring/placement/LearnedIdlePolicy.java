package org.tarragonring.placement;

import java.time.Duration;

/**
 * Keeps a model for the time at which the expected cost of holding its memory idle and of reloading it for a caller
 * who waits is least, given the quiet spells it had before.
 *
 * @since 0.1.0
 */
public final class LearnedIdlePolicy implements IdlePolicy {

    private static final double MIN_HISTORY = 3;

    private final Duration initialKeep;
    private final double idleSecondsPerLateSecond;

    /**
     * Creates a policy.
     *
     * @param initialKeep how long a model without much history is kept, not null
     * @param idleSecondsPerLateSecond how many seconds of idle memory are as bad as one second that a call of
     *     weight 1 waits for a reload
     */
    public LearnedIdlePolicy(Duration initialKeep, double idleSecondsPerLateSecond) {
        this.initialKeep = initialKeep;
        this.idleSecondsPerLateSecond = idleSecondsPerLateSecond;
    }

    @Override
    public Duration keepFor(GapHistory gaps, Duration reload, int weight) {
        if (gaps.total() < MIN_HISTORY) {
            return initialKeep;
        }
        double reloadCost = reload.toMillis() / 1000.0 * weight * idleSecondsPerLateSecond;
        double bestCost = reloadCost;
        Duration best = Duration.ZERO;
        double heldSeconds = 0;
        for (int i = 0; i < GapHistory.CLASSES; i++) {
            double endsBefore = i == 0 ? 0 : gaps.shareWithin(i - 1);
            double lower = i == 0 ? 0 : GapHistory.longest(i - 1).toSeconds();
            double upper = GapHistory.longest(i).toSeconds();
            heldSeconds += (1 - endsBefore) * (upper - lower);
            double cost = heldSeconds + (1 - gaps.shareWithin(i)) * reloadCost;
            if (cost < bestCost) {
                bestCost = cost;
                best = GapHistory.longest(i);
            }
        }
        return best;
    }
}
