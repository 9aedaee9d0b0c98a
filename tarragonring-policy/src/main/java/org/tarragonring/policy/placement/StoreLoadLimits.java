package org.tarragonring.policy.placement;

/**
 * Limits the loads from the weight store in one planning pass.
 *
 * @param maxNewLoads the number of loads that may begin now within the rate that the store allows
 * @param maxConcurrentLoads the number of loads that may be in progress at once
 * @param maySpeculate whether models without calls may be loaded; not while replicas are still being listed, as one of them
 *     may have the checkpoint
 * @since 0.2.0
 */
public record StoreLoadLimits(int maxNewLoads, int maxConcurrentLoads, boolean maySpeculate) {

    /** Checks the arguments. */
    public StoreLoadLimits {
        if (maxNewLoads < 0) {
            throw new IllegalArgumentException("maxNewLoads is negative: " + maxNewLoads);
        }
        if (maxConcurrentLoads < 1) {
            throw new IllegalArgumentException("maxConcurrentLoads is less than 1: " + maxConcurrentLoads);
        }
    }
}
