package org.tarragonring.log;

import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/** Bounds the lines of each second, and counts those that are left out. */
final class VolumeLimit implements Filter {

    /** About four lines for each of a hundred calls a second, five times an entry's share at the target size. */
    static final int LINES_PER_SECOND = 400;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final AtomicLong totalLeftOut = new AtomicLong();
    private long second;
    private int lines;
    private long leftOut;

    @Override
    public boolean isLoggable(LogRecord line) {
        long lastLeftOut = 0;
        boolean passes;
        synchronized (this) {
            long now = line.getInstant().toEpochMilli() / MILLIS_PER_SECOND;
            if (now != second) {
                second = now;
                lines = 0;
                lastLeftOut = leftOut;
                leftOut = 0;
            }
            passes = ++lines <= LINES_PER_SECOND;
            leftOut += passes ? 0 : 1;
        }
        if (!passes) {
            totalLeftOut.incrementAndGet();
        }
        if (lastLeftOut > 0) {
            LogEvent.LINES_LEFT_OUT.log(lastLeftOut);
        }
        return passes;
    }

    /** Returns the lines left out so far. */
    long totalLeftOut() {
        return totalLeftOut.get();
    }
}
