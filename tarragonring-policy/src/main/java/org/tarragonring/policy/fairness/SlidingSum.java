package org.tarragonring.policy.fairness;

import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * The sum of what was added within the last seconds.
 *
 * <p>Not thread-safe.
 */
final class SlidingSum {

    /** The accuracy of the window; two reports of an entry are at least this far apart. */
    static final long BUCKET_MILLIS = 500;

    private final MonotonicClock clock;
    private final double[] buckets;
    private long newestBucket;

    /**
     * Creates a sum of nothing.
     *
     * @param clock the monotonic clock, not null
     * @param windowMillis the length of the window, a multiple of {@value #BUCKET_MILLIS}
     */
    SlidingSum(MonotonicClock clock, long windowMillis) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.buckets = new double[(int) (windowMillis / BUCKET_MILLIS)];
        this.newestBucket = bucketOfNow();
    }

    void add(double value) {
        advance();
        buckets[index(newestBucket)] += value;
    }

    double sum() {
        advance();
        double sum = 0;
        for (double bucket : buckets) {
            sum += bucket;
        }
        return sum;
    }

    private void advance() {
        long now = bucketOfNow();
        long passed = Math.min(now - newestBucket, buckets.length);
        for (long i = 0; i < passed; i++) {
            buckets[index(now - i)] = 0;
        }
        newestBucket = now;
    }

    private long bucketOfNow() {
        return Math.floorDiv(clock.millis(), BUCKET_MILLIS);
    }

    private int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) buckets.length);
    }
}
