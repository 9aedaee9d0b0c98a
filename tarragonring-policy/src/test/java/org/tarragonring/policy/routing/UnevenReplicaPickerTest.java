package org.tarragonring.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class UnevenReplicaPickerTest {

    private static final int PICKS = 1_000;
    private static final CallProfile SHORT_CALL = new CallProfile("chat", true, 830, 200, List.of(), "", 607);
    private static final CallProfile LONG_CALL = new CallProfile("draft", true, 9_200, 200, List.of(), "", 1_015);

    private final ManualClock clock = new ManualClock();
    private final ReplicaLoadView view = new ReplicaLoadView(clock);
    private final PromptPartMemory parts = new PromptPartMemory(clock);
    private final Random random = new Random(1);
    private final UnevenReplicaPicker picker = new UnevenReplicaPicker(
            "a", view, new ExpectedCompletion(new ResponseTimes()), parts, clock, random::nextDouble);
    private final List<ReplicaState> replicas = new ArrayList<>();

    private void add(String id, int inFlight, int speedPercent) {
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                "a",
                new SoftwareVersion("v1"),
                48,
                false,
                new Holdings(1, 0, Map.of(new ModelName("m"), Set.of()), Set.of(), Set.of()));
        replicas.add(new ReplicaState(listed, () -> 0));
        view.onDigest();
        view.put(ReplicaLoadView.hash(new UpstreamId(id)), inFlight, speedPercent);
    }

    /** Returns the part of the picks that goes to a replica, after the ramp-up of all. */
    private double share(CallProfile call, String id) {
        picker.pick(replicas, call);
        replicas.forEach(replica -> picker.pick(List.of(replica), call));
        clock.nowMillis += 1_000;
        return rampingShare(call, id);
    }

    private double rampingShare(CallProfile call, String id) {
        view.onDigest();
        int count = 0;
        for (int i = 0; i < PICKS; i++) {
            count += picker.pick(replicas, call).orElseThrow().id().value().equals(id) ? 1 : 0;
        }
        return count / (double) PICKS;
    }

    // Guards against a change of the choice where replicas are equal.
    @Test
    void selectsNoneWhereReplicasDoNotDiffer() {
        add("x", 5, 0);
        add("y", 1, 0);
        assertEquals(Optional.empty(), picker.pick(replicas, SHORT_CALL));
    }

    @Test
    void longCallsAvoidASlowReplicaWithRoomMoreThanShortOnes() {
        add("fast-1", 6, 100);
        add("fast-2", 6, 100);
        add("slow", 0, 40);
        double longShare = share(LONG_CALL, "slow");
        double shortShare = share(SHORT_CALL, "slow");
        assertTrue(longShare < shortShare, longShare + " of long calls, " + shortShare + " of short calls");
        assertTrue(shortShare > 0.02);
    }

    @Test
    void callsAvoidReplicasThatOtherEntriesKeepBusy() {
        add("busy", 30, 100);
        add("idle", 2, 100);
        assertTrue(share(SHORT_CALL, "busy") < 0.35);
    }

    @Test
    void slowReplicaGetsShortTrialCallsButNoLongOnes() {
        add("fast-1", 0, 100);
        add("fast-2", 0, 100);
        add("fast-3", 0, 100);
        add("slow", 0, 20);
        assertTrue(share(SHORT_CALL, "slow") > 0.01);
        assertTrue(share(LONG_CALL, "slow") < 0.01);
    }

    // Guards against sessions that lose their cached prompts, whose replica is only a little busier.
    @Test
    void callStaysWhereItsPromptIsCached() {
        CallProfile session = new CallProfile("draft", true, 9_200, 50, List.of("system", "session"), "system", 1_015);
        add("holder", 4, 100);
        for (int i = 0; i < 9; i++) {
            add("other-" + i, 3, 100);
        }
        replicas.forEach(replica -> picker.pick(List.of(replica), session));
        clock.nowMillis += 1_000;
        parts.onSent(session.promptParts(), replicas.get(0).process());
        assertTrue(rampingShare(session, "holder") > 0.9);
    }

    @Test
    void newReplicaGetsFewCallsInItsFirstSecond() {
        add("old-1", 3, 100);
        add("old-2", 3, 100);
        add("old-3", 3, 100);
        share(SHORT_CALL, "old-1");
        add("new", 0, 100);
        double atFirst = rampingShare(SHORT_CALL, "new");
        clock.nowMillis += 1_000;
        double later = rampingShare(SHORT_CALL, "new");
        assertTrue(atFirst < 0.2 && later > 0.3, atFirst + " at first, " + later + " later");
    }
}
