package org.tarragonring.policy.routing;

import java.time.Duration;

/** The decaying estimate of how long calls take at one replica. Not thread-safe. */
final class SpeedEstimate {

    /** A time that differs by this factor from the mean may be the first sample after a change of speed. */
    private static final double CHANGE_LOG_RATIO = Math.log(2);

    /** It must differ by this many standard deviations, too. */
    private static final double CHANGE_DEVIATIONS = 2;

    /** What is left of the weight of earlier samples at the second differing sample in a row. */
    private static final double WEIGHT_AFTER_CHANGE = 0.2;

    /** More samples of one report count as this many: they mostly belong to the same calls. */
    private static final int MAX_SAMPLES_PER_REPORT = 4;

    /**
     * The number of samples from which on an estimate is used. With 3, single late first events made equal replicas
     * differ shortly after the start.
     */
    private static final double MIN_SAMPLES = 8;

    /** The age at which an estimate no longer counts as known. */
    private static final Duration LIFETIME = Duration.ofSeconds(20);

    private final SpeedRule rule;
    private double weight;
    private double samples;
    private double meanLoad;
    private double meanLogTime;
    private long updatedMillis;
    private int changeDirection;

    SpeedEstimate(SpeedRule rule) {
        this.rule = rule;
    }

    /**
     * Adds samples of one report.
     *
     * @return the squared difference from the mean before, for the estimate of the noise; 0 if it is no noise
     */
    double add(long nowMillis, int count, double load, double logTime, LoadSlope slope, double noise) {
        double added = Math.min(count, MAX_SAMPLES_PER_REPORT);
        double before = weight
                * Math.exp(-(nowMillis - updatedMillis) / (double) rule.decay().toMillis());
        double difference = logTime - meanLogTime - slope.slope() * (load - meanLoad);
        double squaredNoise = 0;
        double changeBound = Math.max(CHANGE_LOG_RATIO, CHANGE_DEVIATIONS * Math.sqrt(noise / added));
        int direction = Math.abs(difference) < changeBound ? 0 : (int) Math.signum(difference);
        if (direction != 0 && samples >= MIN_SAMPLES) {
            before *= direction == changeDirection ? WEIGHT_AFTER_CHANGE : 1;
        } else if (before > 0) {
            double commonWeight = before * added / (before + added);
            slope.add(commonWeight, load - meanLoad, logTime - meanLogTime);
            squaredNoise = difference * difference * commonWeight;
        }
        changeDirection = direction;
        double share = added / (before + added);
        meanLoad += share * (load - meanLoad);
        meanLogTime += share * (logTime - meanLogTime);
        weight = before + added;
        samples += added;
        updatedMillis = nowMillis;
        return squaredNoise;
    }

    /** Takes over an estimate of another entry as a guess, which a few samples replace. */
    void guess(long nowMillis, double logTime) {
        weight = 1;
        samples = MIN_SAMPLES;
        meanLogTime = logTime;
        updatedMillis = nowMillis;
    }

    boolean isKnown(long nowMillis) {
        return samples >= MIN_SAMPLES && nowMillis - updatedMillis <= LIFETIME.toMillis();
    }

    /** Returns the logarithm of the time of a call at an idle replica, as a multiple of the expected one. */
    double logTime(LoadSlope slope) {
        return meanLogTime - slope.slope() * meanLoad;
    }

    /** Returns the number of recent samples, 1 or more. */
    double weight() {
        return Math.max(1, weight);
    }

    /** Returns how much of the difference from the usual speed still counts, from 1 for recent samples towards 0. */
    double trust(long nowMillis) {
        long overdueMillis = nowMillis - updatedMillis - rule.fresh().toMillis();
        return overdueMillis <= 0
                ? 1
                : Math.exp(-overdueMillis / (2.0 * rule.fresh().toMillis()));
    }
}
