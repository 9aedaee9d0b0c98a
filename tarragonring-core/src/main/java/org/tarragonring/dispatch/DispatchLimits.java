package org.tarragonring.dispatch;

/**
 * Limits the queue of a dispatcher and the rate of its demand reports.
 *
 * @param maxQueuedCallsPerModel the maximum number of calls that wait for one model
 * @param queuedReportIntervalMillis the time between two demand reports while calls wait, in milliseconds
 * @param busyReportIntervalMillis the time between two demand reports while calls run but none waits, in
 *     milliseconds
 * @since 0.1.0
 */
public record DispatchLimits(
        int maxQueuedCallsPerModel, long queuedReportIntervalMillis, long busyReportIntervalMillis) {

    /** Limits for a small entry. */
    public static final DispatchLimits DEFAULT = new DispatchLimits(1000, 200, 2000);
}
