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

/** Checks how many replicas are loaded and released, including the extra one while a replica is being replaced. */
class ReplicaDecisionTest {

    private static final Model MODEL = new Model(
            new ModelName("m"), Set.of(), new CallClass("c", Duration.ofSeconds(1), 1, true, 1), "v2", 1, 0, 3, 4);

    @Test
    void releasesReplicaOfModelRemovedFromConfiguration() {
        ReplicaView loaded = replica("a", "v2", true, true);
        assertEquals(
                loaded,
                ReplicaDecision.decide(null, observedState(0, 0, true, loaded)).release());
    }

    @Test
    void loadsOneReplicaForFirstCall() {
        ReplicaDecision decision = ReplicaDecision.decide(MODEL, observedState(1, 0, true));
        assertEquals(1, decision.loads());
        assertEquals(1, decision.decidedReplicas());
    }

    @Test
    void loadsAtMostTheMaximumNumberOfReplicas() {
        assertEquals(
                3, ReplicaDecision.decide(MODEL, observedState(1000, 0, true)).loads());
    }

    @Test
    void countsLoadInProgressAsReplica() {
        assertEquals(0, ReplicaDecision.decide(MODEL, observedState(4, 1, true)).loads());
    }

    @Test
    void startsNoLoadDuringBackoff() {
        assertEquals(
                0, ReplicaDecision.decide(MODEL, observedState(4, 0, false)).loads());
    }

    @Test
    void allowsOneMoreReplicaToReplaceOneOnLeavingUpstream() {
        ReplicaDecision decision =
                ReplicaDecision.decide(MODEL, observedState(1, 0, true, replica("a", "v2", true, false)));
        assertEquals(1, decision.loads());
        assertEquals(2, decision.decidedReplicas());
    }

    @Test
    void loadsNewVersionBeforeReleasingOldVersion() {
        ReplicaView outdated = replica("a", "v1", true, true);
        ReplicaDecision decision = ReplicaDecision.decide(MODEL, observedState(1, 0, true, outdated));
        assertEquals(1, decision.loads());
        assertNull(decision.release());
        ReplicaView current = replica("b", "v2", true, true);
        assertEquals(
                outdated,
                ReplicaDecision.decide(MODEL, observedState(1, 0, true, outdated, current))
                        .release());
    }

    private static ReplicaDecision.ObservedState observedState(
            int calls, int loadsInProgress, boolean loadAllowed, ReplicaView... replicas) {
        return new ReplicaDecision.ObservedState(
                calls, List.of(replicas), loadsInProgress, loadAllowed, loadsInProgress > 0, false, Duration.ZERO);
    }

    private static ReplicaView replica(String slot, String version, boolean loaded, boolean usable) {
        return new ReplicaView(new SlotId(slot), new UpstreamId("u-" + slot), version, loaded, usable, 0);
    }
}
