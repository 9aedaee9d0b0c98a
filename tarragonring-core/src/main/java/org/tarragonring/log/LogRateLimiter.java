package org.tarragonring.log;

import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Drops log lines above a limit per second and counts them. The first line of a later second logs how many were
 * dropped.
 */
final class LogRateLimiter implements Filter {

    /** Allows about 4 lines per call at 100 calls per second, five times the load of one entry at the target size. */
    static final int LINES_PER_SECOND = 400;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final AtomicLong totalDropped = new AtomicLong();
    private long second;
    private int lines;
    private long droppedInSecond;

    @Override
    public boolean isLoggable(LogRecord logRecord) {
        long droppedInPreviousSecond = 0;
        boolean passes;
        synchronized (this) {
            long epochSecond = logRecord.getInstant().toEpochMilli() / MILLIS_PER_SECOND;
            if (epochSecond != second) {
                second = epochSecond;
                lines = 0;
                droppedInPreviousSecond = droppedInSecond;
                droppedInSecond = 0;
            }
            passes = ++lines <= LINES_PER_SECOND;
            droppedInSecond += passes ? 0 : 1;
        }
        if (!passes) {
            totalDropped.incrementAndGet();
        }
        if (droppedInPreviousSecond > 0) {
            LogEvent.LINES_DROPPED.log(droppedInPreviousSecond);
        }
        return passes;
    }

    /** Returns the number of lines dropped so far. */
    long totalDropped() {
        return totalDropped.get();
    }
}
