package org.tarragonring.policy.hedge;

import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.hedge.HedgePolicy.Suppression;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HedgePolicyTest {

    private static final ServiceName SERVICE = new ServiceName("app");
    private static final CallClass SMALL = CallClass.of(SERVICE, "lookup", 100);
    private static final CallClass LARGE = CallClass.of(SERVICE, "lookup", 9_000);
    private static final long REMAINING_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long nowMillis = 100_000;
    private HedgePolicy policy;

    @BeforeEach
    void createPolicy() {
        policy = new HedgePolicy(new HedgeSettings(0.1), () -> nowMillis * NANOS_PER_MILLI);
    }

    // Load: even calls, one in twenty slow.
    @Test
    void callCountsAsSlowAboveTheTimeThatNearlyAllCallsOfItsClassTook() {
        for (int i = 0; i < 57; i++) {
            policy.onResponse(SMALL, 20);
        }
        for (int i = 0; i < 3; i++) {
            policy.onResponse(SMALL, 200);
        }

        assertEquals(OptionalLong.of(200), policy.slowAfterMillis(SMALL));
        assertEquals(OptionalLong.empty(), policy.slowAfterMillis(LARGE));
    }

    // Load: long calls beside short ones. Guards against long calls that all count as slow.
    @Test
    void sizesHaveTimesOfTheirOwn() {
        record(SMALL, 20, ResponseTimes.MIN_SAMPLES);
        record(LARGE, 400, ResponseTimes.MIN_SAMPLES);

        assertEquals(OptionalLong.of(20), policy.slowAfterMillis(SMALL));
        assertEquals(OptionalLong.of(400), policy.slowAfterMillis(LARGE));
    }

    // Load: replicas that all become twice as slow. Guards against second attempts that feed an overload.
    @Test
    void serviceThatIsSlowAsAWholeGetsNoSecondAttempts() {
        allowHedges(10);
        record(SMALL, 20, 30);
        assertEquals(Optional.empty(), policy.tryHedge(SMALL, REMAINING_MILLIS));

        record(SMALL, 40, HedgePolicy.NEWEST_CALLS);

        assertEquals(Optional.of(Suppression.SERVICE_SLOW), policy.tryHedge(SMALL, REMAINING_MILLIS));
    }

    // Load: more calls than the replicas have room for.
    @Test
    void serviceShortOfRoomGetsNoSecondAttemptsForAWhile() {
        allowHedges(10);
        record(SMALL, 20, 30);
        policy.onShortage(SERVICE);

        assertEquals(Optional.of(Suppression.SHORTAGE), policy.tryHedge(SMALL, REMAINING_MILLIS));
        nowMillis += HedgePolicy.SHORTAGE_MEMORY.toMillis() + 1;
        assertEquals(Optional.empty(), policy.tryHedge(SMALL, REMAINING_MILLIS));
    }

    // Load: every call slow. Guards against more second attempts than the operators allow.
    @Test
    void secondAttemptsStayWithinTheirShareOfTheCalls() {
        record(SMALL, 20, 30);
        int hedges = 0;
        for (int i = 0; i < 1_000; i++) {
            policy.onCall();
            hedges += policy.tryHedge(SMALL, REMAINING_MILLIS).isEmpty() ? 1 : 0;
        }

        assertTrue(hedges >= 95 && hedges <= 100, hedges + " second attempts");
    }

    @Test
    void callWithLittleTimeLeftGetsNoSecondAttempt() {
        allowHedges(10);
        record(SMALL, 200, 30);

        assertEquals(Optional.of(Suppression.TOO_LATE), policy.tryHedge(SMALL, 200));
    }

    // Load: calls that become faster. Guards against times of an earlier load.
    @Test
    void oldTimesDoNotCount() {
        record(SMALL, 900, 30);
        nowMillis += 61_000;
        record(SMALL, 20, ResponseTimes.MIN_SAMPLES - 1);

        assertEquals(OptionalLong.empty(), policy.slowAfterMillis(SMALL));
        record(SMALL, 20, 1);
        assertEquals(OptionalLong.of(20), policy.slowAfterMillis(SMALL));
    }

    @Test
    void shareOfZeroSwitchesSecondAttemptsOff() {
        assertFalse(new HedgePolicy(HedgeSettings.OFF, () -> nowMillis * NANOS_PER_MILLI).isOn());
    }

    private void allowHedges(int calls) {
        for (int i = 0; i < calls; i++) {
            policy.onCall();
            policy.onCall();
        }
    }

    private void record(CallClass callClass, long durationMillis, int count) {
        for (int i = 0; i < count; i++) {
            policy.onResponse(callClass, durationMillis);
        }
    }
}
