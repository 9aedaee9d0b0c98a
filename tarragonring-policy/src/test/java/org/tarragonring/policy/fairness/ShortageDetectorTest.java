package org.tarragonring.policy.fairness;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ShortageDetectorTest {

    private final ShortageDetector detector = new ShortageDetector();

    // Guards against demoted calls on a calm day, on which single calls for cold models are refused.
    @Test
    void singleRefusalsAreNoShortage() {
        assertFalse(detector.update(10, 3));
        assertFalse(detector.update(1_000, 20));
    }

    @Test
    void shortageEndsLaterThanItBegins() {
        assertTrue(detector.update(100, 5));
        assertTrue(detector.update(100, 2));
        assertFalse(detector.update(100, 1));
        assertFalse(detector.update(100, 4));
    }

    @Test
    void noCallsAreNoShortage() {
        assertTrue(detector.update(0, 10));
        assertFalse(detector.update(0, 0));
    }
}
