package org.tarragonring.policy.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A quarter of the replicas may run at less than half the speed of the others, which models in demand must not be on. */
class ReplicaSpeedPlanningTest {

    private static final StoreLoadLimits NO_STORE_LOADS = new StoreLoadLimits(0, 1, true);
    private static final double SLOW = 0.45;

    private final PlanningScenario scenario = new PlanningScenario("domain-a");

    // Guards against the calls of a busy model that all miss their objective on a slow replica.
    @Test
    void busyModelIsLoadedOnFastReplicaAlthoughSlowOneIsCheaper() {
        scenario.replica("slow", Set.of(), Set.of("busy"))
                .withSpeed(SLOW)
                .replica("fast", Set.of("idle"), Set.of("busy", "idle"))
                .demand("busy", 3, 0, 3);

        assertEquals("fast", plannedReplica("busy"));
    }

    // Guards against slow replicas that get no model at all.
    @Test
    void rareModelIsLoadedOnSlowReplicaRatherThanInPlaceOfBusyModels() {
        scenario.replica("slow", Set.of(), Set.of("rare"))
                .withSpeed(SLOW)
                .replica("fast", Set.of("busy", "busier"), Set.of("busy", "busier", "rare"))
                .demand("busy", 0, 3, 2)
                .demand("busier", 0, 3, 3)
                .demand("rare", 1, 0, 0.1);

        assertEquals("slow", plannedReplica("rare"));
    }

    // Guards against a model whose second replica has too little speed to bear the loss of the first.
    @Test
    void slowReplicaDoesNotCountAsWholeOne() {
        threeReplicasOfBusyModel(SLOW);

        assertEquals("r3", plannedReplica("busy"));
    }

    // Guards against a third replica for each busy model because measured speeds differ by chance.
    @Test
    void slightlySlowerReplicaCountsAsWholeOne() {
        threeReplicasOfBusyModel(ReplicaSnapshot.FULL_SPEED);

        assertTrue(scenario.plan(NO_STORE_LOADS).isEmpty());
    }

    @Test
    void speedMustBePositive() {
        ReplicaSnapshot snapshot =
                scenario.replica("r1", Set.of(), Set.of()).replicas.get(0);
        assertThrows(
                IllegalArgumentException.class,
                () -> new ReplicaSnapshot(snapshot.state(), Map.of(), Optional.empty(), 0, false, true, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> new ReplicaSnapshot(snapshot.state(), Map.of(), Optional.empty(), 0, false, true, Double.NaN));
    }

    /** Adds two replicas with a busy model that should have two, and one that can load it from disk. */
    private void threeReplicasOfBusyModel(double secondSpeed) {
        scenario.replica("r1", Set.of("busy"), Set.of("busy"))
                .replica("r2", Set.of("busy"), Set.of("busy"))
                .withSpeed(secondSpeed)
                .replica("r3", Set.of(), Set.of("busy"))
                .demand("busy", 0, 3, 3);
    }

    private String plannedReplica(String model) {
        List<PlannedLoad> loads = scenario.plan(NO_STORE_LOADS).stream()
                .filter(load -> load.model().value().equals(model))
                .toList();
        assertEquals(1, loads.size(), loads.toString());
        return loads.get(0).replicaId().value();
    }
}
