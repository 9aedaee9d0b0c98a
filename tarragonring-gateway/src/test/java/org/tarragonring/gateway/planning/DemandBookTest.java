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

class DemandBookTest {

    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final ModelName MODEL = new ModelName("m1");
    private static final UpstreamId REPLICA = new UpstreamId("r1");
    private static final EntryId FIRST = new EntryId("first");
    private static final EntryId SECOND = new EntryId("second");
    private static final EntryId THIRD = new EntryId("third");

    private long nowMillis = 10_000;
    private final DemandBook book = new DemandBook(() -> nowMillis * MonotonicClock.NANOS_PER_MILLI);

    @Test
    void demandOfAllEntriesIsAddedUp() {
        book.report(FIRST, List.of(waiting(2, 900)), List.of());
        book.report(SECOND, List.of(waiting(1, 400)), List.of());

        AggregateDemand need = book.needs(SERVICE).get(MODEL);

        assertEquals(3, need.waitingCalls());
        assertEquals(400, need.slackMillis());
    }

    @Test
    void newReportReplacesTheLastOne() {
        book.report(FIRST, List.of(waiting(2, 900)), List.of());
        book.report(FIRST, List.of(), List.of());

        assertEquals(Map.of(), book.needs(SERVICE));
    }

    @Test
    void reportOfAnEntryThatFellSilentExpires() {
        book.report(FIRST, List.of(waiting(2, 900)), List.of());
        nowMillis += 1_600;

        assertEquals(Map.of(), book.needs(SERVICE));
    }

    @Test
    void slackShrinksAsTheReportAges() {
        book.report(FIRST, List.of(waiting(1, 400)), List.of());
        nowMillis += 150;

        assertEquals(250, book.needs(SERVICE).get(MODEL).slackMillis());
    }

    @Test
    void rateFallsWhenAModelFallsSilent() {
        book.report(FIRST, List.of(new WeightDemand("assistant", MODEL, Optional.empty(), 0, 0, 10, 0)), List.of());
        assertEquals(2, book.needs(SERVICE).get(MODEL).callsPerSecond(), 0.01);
        nowMillis += 10_000;

        assertTrue(book.needs(SERVICE).get(MODEL).callsPerSecond() < 0.3);
    }

    @Test
    void runningCallsAreKeptByReplicaWithTheLongestRest() {
        book.report(FIRST, List.of(running(2, 500)), List.of());
        book.report(SECOND, List.of(running(1, 1_200)), List.of());

        assertEquals(new RunningCalls(3, 1_200), book.running().get(REPLICA).get(MODEL));
    }

    @Test
    void replicaIsOutOfReachWhenTwoEntriesOrHalfOfThemSaySo() {
        book.report(FIRST, List.of(), List.of(REPLICA));
        book.report(SECOND, List.of(), List.of());
        book.report(THIRD, List.of(), List.of());
        assertFalse(book.isUnreachable(REPLICA));

        book.report(SECOND, List.of(), List.of(REPLICA));

        assertTrue(book.isUnreachable(REPLICA));
    }

    private static WeightDemand waiting(int calls, long slackMillis) {
        return new WeightDemand("assistant", MODEL, Optional.empty(), calls, 0, 0, slackMillis);
    }

    private static WeightDemand running(int calls, long restMillis) {
        return new WeightDemand("assistant", MODEL, Optional.of(REPLICA), 0, calls, 0, restMillis);
    }
}
