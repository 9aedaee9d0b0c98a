package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.placement.ReplicaView.RunningCalls;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.upstream.CheckpointTier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Each test is named for the pattern of load that it stands for. */
class PlacementPlannerTest {

    private static final ModelName BUSY = new ModelName("busy");
    private static final ModelName OTHER_BUSY = new ModelName("other-busy");
    private static final ModelName RARE = new ModelName("rare");
    private static final ModelName IDLE = new ModelName("idle");
    private static final ModelName LARGE = new ModelName("large");

    private final Map<ModelName, ModelNeed> needs = new HashMap<>();
    private final List<ReplicaView> replicas = new ArrayList<>();
    private final PlacementPlanner planner = new PlacementPlanner(engine());

    @Test
    void rareModelDisplacesTheIdleOneNotTheBusyOne() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        need(BUSY, 0, 3, 2.8);
        need(RARE, 1, 0, 0.1);

        PlacementMove move = onlyMove();

        assertEquals(RARE, move.model());
        assertEquals(List.of(IDLE), move.evict());
        assertEquals(CheckpointTier.DISK, move.tier());
    }

    @Test
    void rareModelWaitsForAShortRunRatherThanDisplaceABusyModel() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of(IDLE, new RunningCalls(1, 400)));
        need(BUSY, 0, 0, 2.8);
        need(RARE, 1, 0, 0.1);

        assertEquals(List.of(IDLE), onlyMove().evict());
    }

    @Test
    void wakeUpOfARareModelGoesWhereItsCopyIs() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        need(RARE, 1, 0, 0.1);

        PlacementMove move = moveOf(RARE);

        assertEquals("r2", move.replica().value(), "a load from the weight store would take seconds");
    }

    @Test
    void burstOfRareModelsUsesAllReplicasAtOnce() {
        List<ModelName> rare = List.of(RARE, OTHER_BUSY, IDLE);
        for (int i = 1; i <= 3; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(BUSY, RARE, OTHER_BUSY, IDLE), Map.of());
        }
        need(BUSY, 0, 3, 2.8);
        rare.forEach(model -> need(model, 1, 0, 0.1));

        List<PlacementMove> moves = planner.plan(replicas, needs);

        assertEquals(3, moves.stream().map(PlacementMove::replica).distinct().count());
        assertEquals(
                Set.copyOf(rare),
                new HashSet<>(moves.stream().map(PlacementMove::model).toList()));
    }

    @Test
    void modelThatIsUnderWayIsNotLoadedTwice() {
        ReplicaView loading = replica("r1", Set.of(BUSY), Set.of(RARE), Map.of());
        replicas.set(0, new ReplicaView(loading.state(), Map.of(), Optional.of(RARE), 300, true));
        replica("r2", Set.of(BUSY), Set.of(RARE), Map.of());
        need(RARE, 5, 0, 1);

        assertFalse(
                planner.plan(replicas, needs).stream().anyMatch(m -> m.model().equals(RARE)));
    }

    @Test
    void modelOnAReplicaThatNobodyMayOrderCountsAsResident() {
        ReplicaView held = replica("r1", Set.of(RARE), Set.of(), Map.of());
        replicas.set(0, new ReplicaView(held.state(), Map.of(), Optional.empty(), 0, false));
        replica("r2", Set.of(BUSY), Set.of(RARE), Map.of());
        need(RARE, 1, 0, 0.1);

        assertFalse(
                planner.plan(replicas, needs).stream().anyMatch(m -> m.model().equals(RARE)));
    }

    @Test
    void modelThatCallsWaitForIsNeverDisplaced() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        need(BUSY, 2, 0, 0);
        need(IDLE, 1, 0, 0);
        need(RARE, 1, 0, 0.1);

        assertEquals(List.of(), planner.plan(replicas, needs));
    }

    @Test
    void singleCallForARareModelDoesNotDisplaceABusyModelFromItsOnlyReplica() {
        replica("r1", Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY, RARE), Map.of());
        need(BUSY, 0, 3, 4);
        need(OTHER_BUSY, 0, 3, 3);
        need(RARE, 1, 0, 0.1);

        assertEquals(List.of(), planner.plan(replicas, needs));
    }

    @Test
    void manyWaitingCallsDisplaceTheLessBusyModel() {
        replica("r1", Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY, RARE), Map.of());
        need(BUSY, 0, 3, 4);
        need(OTHER_BUSY, 0, 3, 3);
        need(RARE, 4, 0, 0.5);

        assertEquals(List.of(OTHER_BUSY), moveOf(RARE).evict());
    }

    @Test
    void busyModelWithASingleCopyGetsASecondOneFromTheStore() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE, OTHER_BUSY, RARE, LARGE), Map.of());
        need(BUSY, 0, 1, 1.2);

        PlacementMove move = moveOf(BUSY);

        assertEquals("r2", move.replica().value());
        assertEquals(PlacementMove.Reason.SINGLE_COPY, move.reason());
        assertEquals(CheckpointTier.REMOTE, move.tier());
    }

    @Test
    void copyOnAReplicaThatNobodyMayOrderDoesNotKeepWaitingCallsFromTheStore() {
        replica("r1", Set.of(IDLE), Set.of(IDLE, RARE), Map.of());
        ReplicaView frozen = replicas.remove(0);
        replicas.add(new ReplicaView(frozen.state(), Map.of(), Optional.empty(), 0, false));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        need(RARE, 3, 0, 0.5);

        PlacementMove move = moveOf(RARE);

        assertEquals("r2", move.replica().value());
        assertEquals(CheckpointTier.REMOTE, move.tier());
    }

    @Test
    void manyWaitingCallsDoNotQueueBehindTheLoadOfAnotherModelFromTheStore() {
        replica("r1", Set.of(), Set.of(), Map.of());
        ReplicaView empty = replicas.remove(0);
        replicas.add(new ReplicaView(empty.state(), Map.of(), Optional.of(OTHER_BUSY), 5_000, true));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        need(RARE, 8, 0, 2);

        assertEquals("r2", moveOf(RARE).replica().value());
    }

    @Test
    void busyModelGetsItsSecondCopyAlsoWhileOtherCallsWait() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        replica("r3", Set.of(OTHER_BUSY), Set.of(OTHER_BUSY), Map.of());
        need(BUSY, 0, 4, 4);
        need(LARGE, 1, 0, 0.1);
        need(OTHER_BUSY, 0, 1, 0.9);

        assertEquals(PlacementMove.Reason.SINGLE_COPY, moveOf(BUSY).reason());
    }

    @Test
    void manyWaitingCallsDoNotWaitForAReplicaThatLoadsFromTheStore() {
        replica("r1", Set.of(), Set.of(RARE), Map.of());
        ReplicaView loading = replicas.remove(0);
        replicas.add(new ReplicaView(loading.state(), Map.of(), Optional.of(OTHER_BUSY), 8_000, true));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        need(RARE, 8, 0, 2);

        assertEquals("r2", moveOf(RARE).replica().value());
    }

    @Test
    void modelWithAnAverageShareOfTheCallsKeepsItsSingleCopy() {
        replica("r1", Set.of(BUSY), Set.of(BUSY, RARE, LARGE), Map.of());
        replica("r2", Set.of(OTHER_BUSY), Set.of(OTHER_BUSY, RARE, IDLE), Map.of());
        need(BUSY, 0, 1, 1.2);
        need(OTHER_BUSY, 0, 1, 1.2);

        assertFalse(planner.plan(replicas, needs).stream()
                .anyMatch(move -> move.reason() == PlacementMove.Reason.SINGLE_COPY));
    }

    @Test
    void risingModelGetsASecondReplicaFromDisk() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(BUSY, IDLE), Map.of());
        need(BUSY, 0, 4, 2.8);

        PlacementMove move = moveOf(BUSY);

        assertEquals("r2", move.replica().value());
        assertEquals(PlacementMove.Reason.BUSY_MODEL, move.reason());
    }

    @Test
    void lullFillsFreeRoomAndFetchesMissingCopiesUpToTheStoresSpeed() {
        for (int i = 1; i <= 6; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(), Map.of());
        }

        List<PlacementMove> moves = planner.plan(replicas, needs);

        assertEquals(PlacementPlanner.MAX_STORE_LOADS, moves.size());
        assertTrue(moves.stream().allMatch(m -> m.reason() == PlacementMove.Reason.NO_COPY));
    }

    @Test
    void freeRoomBesideABusyModelIsLeftForItsAdapters() {
        replica("r1", Set.of(BUSY), Set.of(BUSY, RARE), Map.of());
        need(BUSY, 0, 3, 1.2);

        assertFalse(
                planner.plan(replicas, needs).stream().anyMatch(m -> m.model().equals(RARE)));
    }

    @Test
    void trafficLeavesTheStoreOneLoadAtATimeForLaterCalls() {
        for (int i = 1; i <= 6; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(), Map.of());
        }
        need(BUSY, 0, 4, 2.8);

        assertEquals(
                PlacementPlanner.MAX_STORE_LOADS_IN_TRAFFIC,
                planner.plan(replicas, needs).size());
    }

    @Test
    void twoSmallModelsMakeRoomForALargeOne() {
        replica("r1", Set.of(IDLE, RARE), Set.of(LARGE), Map.of());
        need(LARGE, 1, 0, 0.1);

        assertEquals(Set.of(IDLE, RARE), new HashSet<>(moveOf(LARGE).evict()));
    }

    @Test
    void unknownModelIsIgnored() {
        replica("r1", Set.of(BUSY), Set.of(), Map.of());
        ModelName unknown = new ModelName("unknown");
        need(unknown, 1, 0, 0.1);

        assertFalse(
                planner.plan(replicas, needs).stream().anyMatch(m -> m.model().equals(unknown)));
    }

    private PlacementMove onlyMove() {
        List<PlacementMove> moves = planner.plan(replicas, needs);
        assertEquals(1, moves.size(), moves.toString());
        return moves.get(0);
    }

    private PlacementMove moveOf(ModelName model) {
        return planner.plan(replicas, needs).stream()
                .filter(move -> move.model().equals(model))
                .findFirst()
                .orElseThrow();
    }

    private void need(ModelName model, int waiting, int running, double callsPerSecond) {
        needs.put(model, new ModelNeed(model, waiting, running, callsPerSecond, 1_000));
    }

    private ReplicaView replica(
            String id, Set<ModelName> residents, Set<ModelName> onDisk, Map<ModelName, RunningCalls> running) {
        Map<ModelName, Set<String>> held = new HashMap<>();
        residents.forEach(model -> held.put(model, Set.of()));
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                64,
                false,
                new Holdings(1, 0, held, Set.of(), onDisk));
        ReplicaView view = new ReplicaView(new ReplicaState(listed, () -> 0), running, Optional.empty(), 0, true);
        replicas.add(view);
        return view;
    }

    private static EngineSpec engine() {
        Map<ModelName, ModelSpec> models = new HashMap<>();
        for (ModelName model : List.of(BUSY, OTHER_BUSY, RARE, IDLE)) {
            models.put(model, spec(model, 60));
        }
        models.put(LARGE, spec(LARGE, 120));
        return new EngineSpec(64, 130, 8, 2, models);
    }

    private static ModelSpec spec(ModelName model, double megabytes) {
        return new ModelSpec(
                model, megabytes, 0.5, Duration.ofSeconds(6), Duration.ofMillis(800), Duration.ofMillis(400));
    }
}
