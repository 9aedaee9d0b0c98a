package org.tarragonring.placement;

import java.time.Duration;

/**
 * Chooses the idle timeout that minimizes the expected sum of two costs, given the model's earlier idle periods: the
 * time for which its memory is held idle and the time for which a call waits for a reload.
 *
 * @since 0.1.0
 */
public final class LearnedIdlePolicy implements IdlePolicy {

    private static final double MIN_HISTORY_WEIGHT = 3;

    private final Duration initialTimeout;
    private final double idleSecondsPerLateSecond;

    /**
     * Creates a policy.
     *
     * @param initialTimeout the idle timeout of a model with too few recorded idle periods, not null
     * @param idleSecondsPerLateSecond the number of seconds of idle memory that cost as much as one second for which a
     *     call of weight 1 waits for a reload
     */
    public LearnedIdlePolicy(Duration initialTimeout, double idleSecondsPerLateSecond) {
        this.initialTimeout = initialTimeout;
        this.idleSecondsPerLateSecond = idleSecondsPerLateSecond;
    }

    @Override
    public Duration idleTimeout(IdlePeriodHistory history, Duration reload, int weight) {
        if (history.total() < MIN_HISTORY_WEIGHT) {
            return initialTimeout;
        }
        double reloadCostSeconds = reload.toMillis() / 1000.0 * weight * idleSecondsPerLateSecond;
        double bestCostSeconds = reloadCostSeconds;
        Duration bestTimeout = Duration.ZERO;
        double expectedIdleSeconds = 0;
        for (int i = 0; i < IdlePeriodHistory.BUCKET_COUNT; i++) {
            double endedShare = i == 0 ? 0 : history.shareWithin(i - 1);
            double lowerSeconds =
                    i == 0 ? 0 : IdlePeriodHistory.upperBound(i - 1).toSeconds();
            double upperSeconds = IdlePeriodHistory.upperBound(i).toSeconds();
            expectedIdleSeconds += (1 - endedShare) * (upperSeconds - lowerSeconds);
            double costSeconds = expectedIdleSeconds + (1 - history.shareWithin(i)) * reloadCostSeconds;
            if (costSeconds < bestCostSeconds) {
                bestCostSeconds = costSeconds;
                bestTimeout = IdlePeriodHistory.upperBound(i);
            }
        }
        return bestTimeout;
    }
}
