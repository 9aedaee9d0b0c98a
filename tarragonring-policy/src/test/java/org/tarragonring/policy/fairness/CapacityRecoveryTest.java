package org.tarragonring.policy.fairness;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CapacityRecoveryTest {

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final CapacityRecovery recovery = new CapacityRecovery(clock);

    // Guards against callers that are told the same second whether replicas are full for 200 ms or for 3 s.
    @Test
    void callsAreExpectedToWaitAsLongAsOthersDid() {
        assertEquals(OptionalLong.empty(), recovery.expectedWaitMillis());

        recovery.onServedAfter(3_000);
        assertEquals(OptionalLong.of(3_000), recovery.expectedWaitMillis());
        recovery.onServedAfter(1_000);

        assertEquals(OptionalLong.of(2_400), recovery.expectedWaitMillis());
    }

    @Test
    void callThatWaitedInVainCountsIfItWaitedLonger() {
        recovery.onServedAfter(1_000);
        recovery.onGivenUpAfter(500);
        assertEquals(OptionalLong.of(1_000), recovery.expectedWaitMillis());

        recovery.onGivenUpAfter(2_000);

        assertEquals(OptionalLong.of(1_300), recovery.expectedWaitMillis());
    }

    // Guards against an estimate that has all calls refused at once, so that none shows that there is room again.
    @Test
    void estimateEndsWithoutNewObservations() {
        recovery.onServedAfter(60_000);
        nowMillis += CapacityRecovery.WINDOW_MILLIS + 1;
        assertEquals(OptionalLong.empty(), recovery.expectedWaitMillis());

        recovery.onServedAfter(100);

        assertEquals(OptionalLong.of(100), recovery.expectedWaitMillis());
    }

    // Guards against more retries in a moment than the replicas can serve in it.
    @Test
    void refusedCallsComeBackAsFastAsCallsAreServed() {
        for (int i = 0; i < 8; i++) {
            recovery.onServed();
            recovery.onRefused();
            recovery.onRefused();
        }
        assertEquals(5_000, recovery.intervalMillis());
        for (int i = 0; i < 56; i++) {
            recovery.onServed();
        }
        assertEquals(1_000, recovery.intervalMillis());
    }

    @Test
    void refusalsOfLongAgoDoNotCount() {
        recovery.onRefused();
        nowMillis += 5_000;
        recovery.onServed();

        assertEquals(250, recovery.intervalMillis());
    }
}
