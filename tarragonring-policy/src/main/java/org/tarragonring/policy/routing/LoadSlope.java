package org.tarragonring.policy.routing;

/**
 * Learns how much longer calls take at a replica with more load. Only differences between samples of the same replica
 * count: slow replicas often have another load than fast ones, and a comparison between replicas would take their speed
 * for the effect of the load.
 *
 * <p>Not thread-safe.
 */
final class LoadSlope {

    /** The load at which the effect of one more call is half of that at an idle replica. */
    private static final double LOAD_SCALE_CALLS = 8;

    /** The assumed slope before there are samples: the time grows by half when the load grows from 0 to 12 calls. */
    private static final double PRIOR_SLOPE = 0.45;

    /** The weight of the assumed slope, as a sum of squared differences: that of about 30 samples. */
    private static final double PRIOR_WEIGHT = 3;

    /** More than proportional growth is taken for a disturbance. */
    private static final double MAX_SLOPE = 1.5;

    /** The share of the sums that each sample removes, so that about the last thousand count. */
    private static final double DECAY = 0.001;

    private double sumSquares;
    private double sumProducts;

    /** Returns the measure of load on which the logarithm of the time depends linearly. */
    static double scaled(double loadCalls) {
        return Math.log1p(Math.max(0, loadCalls) / LOAD_SCALE_CALLS);
    }

    /** Adds a sample by its differences from the mean of its replica. */
    void add(double weight, double loadDifference, double timeDifference) {
        sumSquares = sumSquares * (1 - DECAY) + weight * loadDifference * loadDifference;
        sumProducts = sumProducts * (1 - DECAY) + weight * loadDifference * timeDifference;
    }

    double slope() {
        double slope = (sumProducts + PRIOR_SLOPE * PRIOR_WEIGHT) / (sumSquares + PRIOR_WEIGHT);
        return Math.min(MAX_SLOPE, Math.max(0, slope));
    }
}
