package org.tarragonring.policy.routing;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ResponseTimesTest {

    private final ResponseTimes times = new ResponseTimes();

    @Test
    void learnsFromResponses() {
        for (int i = 0; i < 300; i++) {
            times.recordSteps(10, 200);
            times.recordFirstEvent(1_000, 100);
            times.recordOutput(200, 50);
            times.recordDuration("book", 40);
        }
        assertEquals(20, times.stepMillis(), 1);
        assertEquals(100, times.firstEventMillis(1_000), 5);
        assertEquals(50, times.outputEvents(200), 5);
        assertEquals(40, times.durationMillis("book"), 1);
    }

    @Test
    void firstDurationsOfARouteCannotBeCompared() {
        for (int i = 0; i < 5; i++) {
            assertTrue(times.recordDuration("book", 40).isEmpty());
        }
        assertEquals(2, times.recordDuration("book", 80).orElseThrow(), 0.01);
        assertTrue(times.recordDuration("look", 80).isEmpty());
    }
}
