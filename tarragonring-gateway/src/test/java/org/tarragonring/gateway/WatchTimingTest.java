package org.tarragonring.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** How long changes of replicas are collected must follow from the time that the platform gives a drain. */
class WatchTimingTest {

    @Test
    void changesOfReplicasAreCollectedForLessThanHalfOfTheDrainTime() {
        assertEquals(Duration.ofMillis(700), WatchTiming.replicaBatchDelay(Duration.ofSeconds(2)));
        assertEquals(Duration.ofMillis(1_200), WatchTiming.replicaBatchDelay(Duration.ofSeconds(3)));
    }

    @Test
    void delayIsBoundedForVeryShortAndVeryLongDrainTimes() {
        assertEquals(Duration.ofMillis(100), WatchTiming.replicaBatchDelay(Duration.ofMillis(300)));
        assertEquals(Duration.ofMillis(1_700), WatchTiming.replicaBatchDelay(Duration.ofMinutes(1)));
    }
}
