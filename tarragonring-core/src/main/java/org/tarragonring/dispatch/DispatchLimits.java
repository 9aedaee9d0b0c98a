package org.tarragonring.dispatch;

/**
 * Bounds of a model's dispatcher.
 *
 * @param queuedCallsPerModel the most calls that wait for one model
 * @param queuedReportMillis the time between demand reports while calls wait
 * @param busyReportMillis the time between demand reports while calls run
 * @since 0.1.0
 */
public record DispatchLimits(int queuedCallsPerModel, long queuedReportMillis, long busyReportMillis) {

    /** Bounds that suit a small entry. */
    public static final DispatchLimits DEFAULT = new DispatchLimits(1000, 200, 2000);
}
