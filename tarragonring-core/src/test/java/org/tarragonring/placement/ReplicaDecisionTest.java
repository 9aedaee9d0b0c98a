package org.tarragonring.placement;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.config.CallClass;
import org.tarragonring.config.Model;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

class ReplicaDecisionTest {

    private static final Model MODEL = new Model(
            new ModelName("m"), Set.of(), new CallClass("c", Duration.ofSeconds(1), 1, true, 1), "v2", 1, 0, 3, 4);

    @Test
    void removedModelIsFreed() {
        ReplicaView loaded = replica("a", "v2", true, true);
        assertEquals(
                loaded,
                ReplicaDecision.decide(null, situation(0, 0, true, loaded)).release());
    }

    @Test
    void firstCallLoadsOneReplica() {
        ReplicaDecision decision = ReplicaDecision.decide(MODEL, situation(1, 0, true));
        assertEquals(1, decision.loads());
        assertEquals(1, decision.decidedReplicas());
    }

    @Test
    void noMoreThanTheMostReplicasAreLoaded() {
        assertEquals(3, ReplicaDecision.decide(MODEL, situation(1000, 0, true)).loads());
    }

    @Test
    void loadInProgressIsCounted() {
        assertEquals(0, ReplicaDecision.decide(MODEL, situation(4, 1, true)).loads());
    }

    @Test
    void nothingIsLoadedForAWhileAfterARefusal() {
        assertEquals(0, ReplicaDecision.decide(MODEL, situation(4, 0, false)).loads());
    }

    @Test
    void replicaOnALeavingUpstreamIsReplacedByADecisionForOneMore() {
        ReplicaDecision decision =
                ReplicaDecision.decide(MODEL, situation(1, 0, true, replica("a", "v2", true, false)));
        assertEquals(1, decision.loads());
        assertEquals(2, decision.decidedReplicas());
    }

    @Test
    void newVersionIsLoadedBeforeTheOldOneIsFreed() {
        ReplicaView old = replica("a", "v1", true, true);
        ReplicaDecision decision = ReplicaDecision.decide(MODEL, situation(1, 0, true, old));
        assertEquals(1, decision.loads());
        assertNull(decision.release());
        ReplicaView fresh = replica("b", "v2", true, true);
        assertEquals(
                old,
                ReplicaDecision.decide(MODEL, situation(1, 0, true, old, fresh)).release());
    }

    private static ReplicaDecision.Situation situation(
            int calls, int attempts, boolean mayLoad, ReplicaView... replicas) {
        return new ReplicaDecision.Situation(
                calls, List.of(replicas), attempts, mayLoad, attempts > 0, false, Duration.ZERO);
    }

    private static ReplicaView replica(String slot, String version, boolean loaded, boolean usable) {
        return new ReplicaView(new SlotId(slot), new UpstreamId("u-" + slot), version, loaded, usable, 0);
    }
}
