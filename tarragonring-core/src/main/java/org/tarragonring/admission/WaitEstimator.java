package org.tarragonring.admission;

/**
 * Estimates how long a call would wait for a replica, from an exponential moving average of the service times of
 * earlier calls. Not thread-safe.
 *
 * @since 0.1.0
 */
public final class WaitEstimator {

    private static final double SMOOTHING_FACTOR = 0.2;

    private double meanServiceMillis;

    /**
     * Adds the service time of a call to the average.
     *
     * @param serviceMillis the time from the assignment of the call to a replica until its release, in milliseconds
     */
    public void recordServiceTime(double serviceMillis) {
        meanServiceMillis = meanServiceMillis == 0
                ? serviceMillis
                : meanServiceMillis + SMOOTHING_FACTOR * (serviceMillis - meanServiceMillis);
    }

    /**
     * Estimates the wait of a call. Only complete rounds of preceding calls add to the wait.
     *
     * @param callsAhead the number of calls that precede the call in the queue
     * @param maxConcurrentCalls the number of calls that all replicas together can run at the same time
     * @param untilReadyMillis the time until a replica is loaded, in milliseconds; 0 if one is loaded
     * @return the estimated wait, in milliseconds
     */
    public long estimateWaitMillis(int callsAhead, int maxConcurrentCalls, long untilReadyMillis) {
        if (maxConcurrentCalls <= 0) {
            return untilReadyMillis;
        }
        return untilReadyMillis + (long) (meanServiceMillis * (callsAhead / maxConcurrentCalls));
    }
}
