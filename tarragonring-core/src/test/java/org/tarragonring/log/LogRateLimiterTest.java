package org.tarragonring.log;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LogRateLimiterTest {

    private final LogRateLimiter limiter = new LogRateLimiter();

    @Test
    void linesBeyondTheLimitAreDroppedAndCounted() {
        for (int i = 0; i < LogRateLimiter.LINES_PER_SECOND; i++) {
            assertTrue(limiter.isLoggable(recordAt(1_000 + i)));
        }

        assertFalse(limiter.isLoggable(recordAt(1_999)));
        assertEquals(1, limiter.totalDropped());
    }

    @Test
    void limitAppliesToEachSecondSeparately() {
        for (int i = 0; i <= LogRateLimiter.LINES_PER_SECOND; i++) {
            limiter.isLoggable(recordAt(1_000));
        }

        assertTrue(limiter.isLoggable(recordAt(2_000)));
        assertEquals(1, limiter.totalDropped());
    }

    private static LogRecord recordAt(long millis) {
        LogRecord logRecord = new LogRecord(Level.INFO, "line");
        logRecord.setInstant(Instant.ofEpochMilli(millis));
        return logRecord;
    }
}
