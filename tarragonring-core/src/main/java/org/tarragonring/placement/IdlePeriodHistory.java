package org.tarragonring.placement;

import java.time.Duration;

/**
 * Keeps a histogram of the lengths of a model's idle periods, in which older periods have exponentially decreasing
 * weights. Not thread-safe.
 *
 * @since 0.1.0
 */
public final class IdlePeriodHistory {

    /**
     * The number of buckets. Bucket i holds idle periods of at most 2<sup>i</sup> seconds that do not fit into a lower
     * bucket; the last bucket also holds all longer ones.
     */
    public static final int BUCKET_COUNT = 18;

    private static final double DECAY_FACTOR = 0.95;
    private static final double MILLIS_PER_SECOND = 1000;

    private final double[] weights = new double[BUCKET_COUNT];
    private double totalWeight;

    /**
     * Adds an idle period and reduces the weight of the earlier ones.
     *
     * @param idlePeriod the length of the idle period, not null
     */
    public void add(Duration idlePeriod) {
        for (int i = 0; i < BUCKET_COUNT; i++) {
            weights[i] *= DECAY_FACTOR;
        }
        totalWeight = totalWeight * DECAY_FACTOR + 1;
        weights[bucketOf(idlePeriod)] += 1;
    }

    /**
     * Returns the sum of the weights of all idle periods.
     *
     * @return the sum, 0 if no idle period was added
     */
    public double totalWeight() {
        return totalWeight;
    }

    /**
     * Returns the weighted fraction of idle periods in a bucket and all lower buckets.
     *
     * @param bucket the bucket, 0 to {@value #BUCKET_COUNT} - 1
     * @return the fraction, from 0 to 1; 0 if no idle period was added
     */
    public double fractionWithin(int bucket) {
        double weightWithin = 0;
        for (int i = 0; i <= bucket; i++) {
            weightWithin += weights[i];
        }
        return totalWeight == 0 ? 0 : weightWithin / totalWeight;
    }

    /**
     * Returns the upper bound of a bucket.
     *
     * @param bucket the bucket, 0 to {@value #BUCKET_COUNT} - 1
     * @return 2<sup>bucket</sup> seconds
     */
    public static Duration upperBound(int bucket) {
        return Duration.ofSeconds(1L << bucket);
    }

    private static int bucketOf(Duration idlePeriod) {
        double seconds = idlePeriod.toMillis() / MILLIS_PER_SECOND;
        int bucket = 0;
        while (bucket < BUCKET_COUNT - 1 && seconds > (1L << bucket)) {
            bucket++;
        }
        return bucket;
    }
}
