package org.tarragonring.log;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class VolumeLimitTest {

    private final VolumeLimit limit = new VolumeLimit();

    @Test
    void linesBeyondTheLimitOfASecondAreCountedAndLeftOut() {
        for (int i = 0; i < VolumeLimit.LINES_PER_SECOND; i++) {
            assertTrue(limit.isLoggable(lineAt(1_000 + i)));
        }

        assertFalse(limit.isLoggable(lineAt(1_999)));
        assertEquals(1, limit.totalLeftOut());
    }

    @Test
    void nextSecondStartsAnew() {
        for (int i = 0; i <= VolumeLimit.LINES_PER_SECOND; i++) {
            limit.isLoggable(lineAt(1_000));
        }

        assertTrue(limit.isLoggable(lineAt(2_000)));
        assertEquals(1, limit.totalLeftOut());
    }

    private static LogRecord lineAt(long millis) {
        LogRecord line = new LogRecord(Level.INFO, "line");
        line.setInstant(Instant.ofEpochMilli(millis));
        return line;
    }
}
