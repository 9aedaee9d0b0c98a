package org.tarragonring.admission;

/**
 * Estimates how long a call would wait, from the pace of earlier calls. Not safe for use by several threads.
 *
 * @since 0.1.0
 */
public final class WaitEstimator {

    private static final double SMOOTHING = 0.2;

    private double meanServiceMillis;

    /**
     * Takes a call's time on a replica into account.
     *
     * @param serviceMillis from sending it until the replica was free for another one
     */
    public void served(double serviceMillis) {
        meanServiceMillis = meanServiceMillis == 0
                ? serviceMillis
                : meanServiceMillis + SMOOTHING * (serviceMillis - meanServiceMillis);
    }

    /**
     * Estimates a wait.
     *
     * @param ahead the calls that go before
     * @param places the calls that all replicas run at once
     * @param untilReadyMillis how long until a replica is loaded, 0 if one is
     * @return milliseconds
     */
    public long waitMillis(int ahead, int places, long untilReadyMillis) {
        if (places <= 0) {
            return untilReadyMillis;
        }
        return untilReadyMillis + (long) (meanServiceMillis * (ahead / places));
    }
}
