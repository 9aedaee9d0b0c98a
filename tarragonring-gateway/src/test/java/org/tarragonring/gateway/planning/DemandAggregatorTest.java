package org.tarragonring.gateway.planning;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage.WeightDemand;
import org.tarragonring.policy.placement.AggregateDemand;
import org.tarragonring.policy.placement.ReplicaSnapshot.RunningCalls;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DemandAggregatorTest {

    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final ModelName MODEL = new ModelName("m1");
    private static final UpstreamId REPLICA = new UpstreamId("r1");
    private static final EntryId FIRST = new EntryId("first");
    private static final EntryId SECOND = new EntryId("second");
    private static final EntryId THIRD = new EntryId("third");

    private long nowMillis = 10_000;
    private final DemandAggregator aggregator = new DemandAggregator(() -> nowMillis * MonotonicClock.NANOS_PER_MILLI);

    @Test
    void demandOfAllEntriesIsSummed() {
        aggregator.addReport(FIRST, List.of(waiting(2, 900)), List.of());
        aggregator.addReport(SECOND, List.of(waiting(1, 400)), List.of());

        AggregateDemand demand = aggregator.demand(SERVICE).of(MODEL);

        assertEquals(3, demand.waitingCalls());
        assertEquals(400, demand.slackMillis());
    }

    @Test
    void newReportReplacesThePreviousOne() {
        aggregator.addReport(FIRST, List.of(waiting(2, 900)), List.of());
        aggregator.addReport(FIRST, List.of(), List.of());

        assertEquals(Map.of(), aggregator.demand(SERVICE).byModel());
    }

    @Test
    void reportOfAFailedEntryExpires() {
        aggregator.addReport(FIRST, List.of(waiting(2, 900)), List.of());
        nowMillis += 1_600;

        assertEquals(Map.of(), aggregator.demand(SERVICE).byModel());
    }

    @Test
    void slackDecreasesWithTheAgeOfTheReport() {
        aggregator.addReport(FIRST, List.of(waiting(1, 400)), List.of());
        nowMillis += 150;

        assertEquals(250, aggregator.demand(SERVICE).of(MODEL).slackMillis());
    }

    @Test
    void callRateDecaysWithoutCalls() {
        aggregator.addReport(
                FIRST, List.of(new WeightDemand("assistant", MODEL, Optional.empty(), 0, 0, 10, 0)), List.of());
        assertEquals(2, aggregator.demand(SERVICE).of(MODEL).callsPerSecond(), 0.01);
        nowMillis += 10_000;

        assertTrue(aggregator.demand(SERVICE).of(MODEL).callsPerSecond() < 0.3);
    }

    // Guards against a rare model that is taken for one without calls a few seconds after each of them.
    @Test
    void callsOfTheLastTwentySecondsAreRemembered() {
        aggregator.addReport(
                FIRST, List.of(new WeightDemand("assistant", MODEL, Optional.empty(), 0, 0, 10, 0)), List.of());
        assertEquals(0, aggregator.demand(SERVICE).observedSeconds(), 0.01);
        nowMillis += 10_000;

        double recentCalls = aggregator.demand(SERVICE).of(MODEL).recentCalls();
        double observedSeconds = aggregator.demand(SERVICE).observedSeconds();

        assertTrue(recentCalls > 5 && recentCalls < 10, recentCalls + " calls");
        assertTrue(observedSeconds > 5 && observedSeconds < 10, observedSeconds + " s");
    }

    @Test
    void runningCallsAreSummedByReplicaWithTheLongestRemainingTime() {
        aggregator.addReport(FIRST, List.of(running(2, 500)), List.of());
        aggregator.addReport(SECOND, List.of(running(1, 1_200)), List.of());

        assertEquals(
                new RunningCalls(3, 1_200),
                aggregator.runningCalls().get(REPLICA).get(MODEL));
    }

    @Test
    void replicaIsUnreachableIfTwoEntriesOrHalfOfThemReportIt() {
        aggregator.addReport(FIRST, List.of(), List.of(REPLICA));
        aggregator.addReport(SECOND, List.of(), List.of());
        aggregator.addReport(THIRD, List.of(), List.of());
        assertFalse(aggregator.isUnreachable(REPLICA));

        aggregator.addReport(SECOND, List.of(), List.of(REPLICA));

        assertTrue(aggregator.isUnreachable(REPLICA));
    }

    private static WeightDemand waiting(int calls, long slackMillis) {
        return new WeightDemand("assistant", MODEL, Optional.empty(), calls, 0, 0, slackMillis);
    }

    private static WeightDemand running(int calls, long remainingMillis) {
        return new WeightDemand("assistant", MODEL, Optional.of(REPLICA), 0, calls, 0, remainingMillis);
    }
}
