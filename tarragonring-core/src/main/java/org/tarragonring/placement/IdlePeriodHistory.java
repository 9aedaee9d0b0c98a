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
    private double total;

    /**
     * Adds an idle period and reduces the weight of the earlier ones.
     *
     * @param gap its length, not null
     */
    public void add(Duration gap) {
        for (int i = 0; i < BUCKET_COUNT; i++) {
            weights[i] *= DECAY_FACTOR;
        }
        total = total * DECAY_FACTOR + 1;
        weights[bucketOf(gap)] += 1;
    }

    /**
     * Returns the sum of the weights of all idle periods.
     *
     * @return the sum, 0 if there was none
     */
    public double total() {
        return total;
    }

    /**
     * Returns the weighted share of idle periods in a bucket and all lower buckets.
     *
     * @param bucket the bucket, 0 to {@value #BUCKET_COUNT} - 1
     * @return from 0 to 1; 0 if there was none
     */
    public double shareWithin(int bucket) {
        double within = 0;
        for (int i = 0; i <= bucket; i++) {
            within += weights[i];
        }
        return total == 0 ? 0 : within / total;
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

    private static int bucketOf(Duration gap) {
        double seconds = gap.toMillis() / MILLIS_PER_SECOND;
        int bucket = 0;
        while (bucket < BUCKET_COUNT - 1 && seconds > (1L << bucket)) {
            bucket++;
        }
        return bucket;
    }
}
