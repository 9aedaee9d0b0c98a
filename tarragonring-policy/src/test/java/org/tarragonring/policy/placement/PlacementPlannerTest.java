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
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.placement.ReplicaSnapshot.RunningCalls;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.upstream.CheckpointTier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A wrong placement evicts a busy model or makes calls wait although another replica could load their model sooner.
 * Each test covers the load pattern in its name.
 */
class PlacementPlannerTest {

    private static final ModelName BUSY = new ModelName("busy");
    private static final ModelName OTHER_BUSY = new ModelName("other-busy");
    private static final ModelName RARE = new ModelName("rare");
    private static final ModelName IDLE = new ModelName("idle");
    private static final ModelName LARGE = new ModelName("large");

    private static final StoreLoadLimits UNLIMITED = new StoreLoadLimits(Integer.MAX_VALUE, Integer.MAX_VALUE, true);

    private final Map<ModelName, AggregateDemand> demands = new HashMap<>();
    private final List<ReplicaSnapshot> replicas = new ArrayList<>();
    private final PlacementPlanner planner = new PlacementPlanner(engine());

    @Test
    void rareModelEvictsIdleModelRatherThanBusyModel() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        demand(BUSY, 0, 3, 2.8);
        demand(RARE, 1, 0, 0.1);

        PlannedLoad load = onlyPlannedLoad();

        assertEquals(RARE, load.model());
        assertEquals(List.of(IDLE), load.evictions());
        assertEquals(CheckpointTier.DISK, load.tier());
    }

    @Test
    void rareModelEvictsModelWithShortRunningCallRatherThanBusyModel() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of(IDLE, new RunningCalls(1, 400)));
        demand(BUSY, 0, 0, 2.8);
        demand(RARE, 1, 0, 0.1);

        assertEquals(List.of(IDLE), onlyPlannedLoad().evictions());
    }

    @Test
    void rareModelIsLoadedOnReplicaWithLocalCheckpoint() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        demand(RARE, 1, 0, 0.1);

        PlannedLoad load = plannedLoadOf(RARE);

        assertEquals("r2", load.replicaId().value(), "a load from the weight store would take seconds");
    }

    @Test
    void burstOfRareModelsLoadsOnAllReplicasInParallel() {
        List<ModelName> rare = List.of(RARE, OTHER_BUSY, IDLE);
        for (int i = 1; i <= 3; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(BUSY, RARE, OTHER_BUSY, IDLE), Map.of());
        }
        demand(BUSY, 0, 3, 2.8);
        rare.forEach(model -> demand(model, 1, 0, 0.1));

        List<PlannedLoad> plannedLoads = planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED);

        assertEquals(
                3, plannedLoads.stream().map(PlannedLoad::replicaId).distinct().count());
        assertEquals(
                Set.copyOf(rare),
                new HashSet<>(plannedLoads.stream().map(PlannedLoad::model).toList()));
    }

    @Test
    void modelWithPendingLoadIsNotLoadedAgain() {
        ReplicaSnapshot loading = replica("r1", Set.of(BUSY), Set.of(RARE), Map.of());
        replicas.set(0, new ReplicaSnapshot(loading.state(), Map.of(), Optional.of(RARE), 300, false, true));
        replica("r2", Set.of(BUSY), Set.of(RARE), Map.of());
        demand(RARE, 5, 0, 1);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .anyMatch(load -> load.model().equals(RARE)));
    }

    @Test
    void modelOnUncontrollableReplicaCountsAsResident() {
        ReplicaSnapshot uncontrollable = replica("r1", Set.of(RARE), Set.of(), Map.of());
        replicas.set(0, new ReplicaSnapshot(uncontrollable.state(), Map.of(), Optional.empty(), 0, false, false));
        replica("r2", Set.of(BUSY), Set.of(RARE), Map.of());
        demand(RARE, 1, 0, 0.1);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .anyMatch(load -> load.model().equals(RARE)));
    }

    @Test
    void modelWithWaitingCallsIsNeverEvicted() {
        replica("r1", Set.of(BUSY, IDLE), Set.of(BUSY, IDLE, RARE), Map.of());
        demand(BUSY, 2, 0, 0);
        demand(IDLE, 1, 0, 0);
        demand(RARE, 1, 0, 0.1);

        assertEquals(List.of(), planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED));
    }

    @Test
    void singleCallForRareModelDoesNotEvictBusyModelFromItsOnlyReplica() {
        replica("r1", Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY, RARE), Map.of());
        demand(BUSY, 0, 3, 4);
        demand(OTHER_BUSY, 0, 3, 3);
        demand(RARE, 1, 0, 0.1);

        assertEquals(List.of(), planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED));
    }

    @Test
    void manyWaitingCallsEvictTheLessBusyModel() {
        replica("r1", Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY, RARE), Map.of());
        demand(BUSY, 0, 3, 4);
        demand(OTHER_BUSY, 0, 3, 3);
        demand(RARE, 4, 0, 0.5);

        assertEquals(List.of(OTHER_BUSY), plannedLoadOf(RARE).evictions());
    }

    @Test
    void busyModelWithSingleCheckpointGetsSecondOneFromStore() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE, OTHER_BUSY, RARE, LARGE), Map.of());
        demand(BUSY, 0, 1, 1.2);

        PlannedLoad load = plannedLoadOf(BUSY);

        assertEquals("r2", load.replicaId().value());
        assertEquals(PlannedLoad.Reason.SINGLE_COPY, load.reason());
        assertEquals(CheckpointTier.REMOTE, load.tier());
    }

    @Test
    void checkpointOnUncontrollableReplicaDoesNotPreventStoreLoadForWaitingCalls() {
        replica("r1", Set.of(IDLE), Set.of(IDLE, RARE), Map.of());
        ReplicaSnapshot uncontrollable = replicas.remove(0);
        replicas.add(new ReplicaSnapshot(uncontrollable.state(), Map.of(), Optional.empty(), 0, false, false));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(RARE, 3, 0, 0.5);

        PlannedLoad load = plannedLoadOf(RARE);

        assertEquals("r2", load.replicaId().value());
        assertEquals(CheckpointTier.REMOTE, load.tier());
    }

    @Test
    void manyWaitingCallsDoNotWaitForEmptyReplicaThatLoadsAnotherModelFromStore() {
        replica("r1", Set.of(), Set.of(), Map.of());
        ReplicaSnapshot empty = replicas.remove(0);
        replicas.add(new ReplicaSnapshot(empty.state(), Map.of(), Optional.of(OTHER_BUSY), 5_000, false, true));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(RARE, 8, 0, 2);

        assertEquals("r2", plannedLoadOf(RARE).replicaId().value());
    }

    @Test
    void busyModelGetsSecondCheckpointWhileOtherCallsWait() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        replica("r3", Set.of(OTHER_BUSY), Set.of(OTHER_BUSY), Map.of());
        demand(BUSY, 0, 4, 4);
        demand(LARGE, 1, 0, 0.1);
        demand(OTHER_BUSY, 0, 1, 0.9);

        assertEquals(PlannedLoad.Reason.SINGLE_COPY, plannedLoadOf(BUSY).reason());
    }

    @Test
    void manyWaitingCallsDoNotWaitForReplicaWithCheckpointThatLoadsFromStore() {
        replica("r1", Set.of(), Set.of(RARE), Map.of());
        ReplicaSnapshot loading = replicas.remove(0);
        replicas.add(new ReplicaSnapshot(loading.state(), Map.of(), Optional.of(OTHER_BUSY), 8_000, false, true));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(RARE, 8, 0, 2);

        assertEquals("r2", plannedLoadOf(RARE).replicaId().value());
    }

    @Test
    void modelWithAverageCallRateGetsNoSecondCheckpoint() {
        replica("r1", Set.of(BUSY), Set.of(BUSY, RARE, LARGE), Map.of());
        replica("r2", Set.of(OTHER_BUSY), Set.of(OTHER_BUSY, RARE, IDLE), Map.of());
        demand(BUSY, 0, 1, 1.2);
        demand(OTHER_BUSY, 0, 1, 1.2);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .anyMatch(load -> load.reason() == PlannedLoad.Reason.SINGLE_COPY));
    }

    @Test
    void modelWithRisingLoadGetsSecondReplicaFromDisk() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(BUSY, IDLE), Map.of());
        demand(BUSY, 0, 4, 2.8);

        PlannedLoad load = plannedLoadOf(BUSY);

        assertEquals("r2", load.replicaId().value());
        assertEquals(PlannedLoad.Reason.BUSY_MODEL, load.reason());
    }

    @Test
    void idleServiceFetchesMissingCheckpointsUpToHalfOfTheStoreLimit() {
        for (int i = 1; i <= 6; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(), Map.of());
        }

        List<PlannedLoad> plannedLoads =
                planner.plan(replicas, new ServiceDemand(demands, 0), new StoreLoadLimits(9, 4, true));

        assertEquals(2, plannedLoads.size(), "the other half of the limit is for calls");
        assertTrue(plannedLoads.stream().allMatch(load -> load.reason() == PlannedLoad.Reason.NO_COPY));
    }

    @Test
    void freeMemoryNextToBusyModelIsLeftForItsAdapters() {
        replica("r1", Set.of(BUSY), Set.of(BUSY, RARE), Map.of());
        demand(BUSY, 0, 3, 1.2);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .anyMatch(load -> load.model().equals(RARE)));
    }

    @Test
    void trafficLimitsFetchesOfMissingCheckpointsToOneAtATime() {
        for (int i = 1; i <= 6; i++) {
            replica("r" + i, Set.of(BUSY), Set.of(), Map.of());
        }
        demand(BUSY, 0, 4, 2.8);

        assertEquals(
                PlacementPlanner.MAX_STORE_LOADS_IN_TRAFFIC,
                planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).size());
    }

    @Test
    void largeModelEvictsTwoSmallModels() {
        replica("r1", Set.of(IDLE, RARE), Set.of(LARGE), Map.of());
        demand(LARGE, 1, 0, 0.1);

        assertEquals(Set.of(IDLE, RARE), new HashSet<>(plannedLoadOf(LARGE).evictions()));
    }

    @Test
    void burstOfModelsWithoutCheckpointStaysWithinTheRateOfTheWeightStore() {
        for (int i = 1; i <= 3; i++) {
            replica("r" + i, Set.of(), Set.of(), Map.of());
        }
        List.of(RARE, OTHER_BUSY, IDLE).forEach(model -> demand(model, 1, 0, 0.1));

        assertEquals(
                2,
                planner.plan(replicas, new ServiceDemand(demands, 0), new StoreLoadLimits(2, 9, true))
                        .size());
        assertEquals(List.of(), planner.plan(replicas, new ServiceDemand(demands, 0), new StoreLoadLimits(0, 9, true)));
    }

    @Test
    void exhaustedRateOfTheWeightStoreDoesNotDelayLoadsFromDisk() {
        replica("r1", Set.of(IDLE), Set.of(IDLE, RARE), Map.of());
        demand(RARE, 1, 0, 0.1);

        assertEquals(
                1,
                planner.plan(replicas, new ServiceDemand(demands, 0), new StoreLoadLimits(0, 9, true))
                        .size());
    }

    @Test
    void unknownModelIsIgnored() {
        replica("r1", Set.of(BUSY), Set.of(), Map.of());
        ModelName unknown = new ModelName("unknown");
        demand(unknown, 1, 0, 0.1);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .anyMatch(load -> load.model().equals(unknown)));
    }

    private PlannedLoad onlyPlannedLoad() {
        List<PlannedLoad> plannedLoads = planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED);
        assertEquals(1, plannedLoads.size(), plannedLoads.toString());
        return plannedLoads.get(0);
    }

    private PlannedLoad plannedLoadOf(ModelName model) {
        return planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED).stream()
                .filter(load -> load.model().equals(model))
                .findFirst()
                .orElseThrow();
    }

    // Guards against calls of a busy model that wait for an adapter until their deadline, as the replica loads another
    // model from the weight store and no adapter meanwhile.
    @Test
    void loadFromStoreAvoidsReplicaWithBusyModel() {
        replica("r1", Set.of(BUSY), Set.of(BUSY), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(BUSY, 0, 3, 2.8);
        demand(RARE, 1, 0, 0.1);

        PlannedLoad load = plannedLoadOf(RARE);

        assertEquals(CheckpointTier.REMOTE, load.tier());
        assertEquals("r2", load.replicaId().value());
    }

    // Guards against loads for waiting calls that make all loads from the weight store, and all replicas, wait for each
    // other.
    @Test
    void waitingCallsLoadNoMoreModelsFromStoreThanItServesAtFullSpeed() {
        for (int i = 1; i <= 4; i++) {
            replica("r" + i, Set.of(), Set.of(), Map.of());
        }
        List.of(RARE, OTHER_BUSY, IDLE, BUSY).forEach(model -> demand(model, 1, 0, 0.2));

        List<PlannedLoad> plannedLoads =
                planner.plan(replicas, new ServiceDemand(demands, 5), new StoreLoadLimits(9, 2, true));

        assertEquals(2, plannedLoads.size());
    }

    // Guards against busy models that are evicted replica by replica until their calls have too few.
    @Test
    void singleCallForModelWithoutCheckpointTakesNoReplicaThatBusyModelNeeds() {
        for (int i = 1; i <= 5; i++) {
            replica("r" + i, Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY), Map.of());
        }
        demand(BUSY, 0, 35, 15);
        demand(OTHER_BUSY, 0, 35, 15);
        demand(RARE, 1, 0, 0.2);

        assertEquals(List.of(), planner.plan(replicas, new ServiceDemand(demands, 5), UNLIMITED));
    }

    // Guards against calls that are refused for a model on disk because its replica loads another one for many seconds.
    @Test
    void loadFromStoreAvoidsReplicaWithTheOnlyCheckpointOfCalledModel() {
        replica("r1", Set.of(IDLE), Set.of(IDLE, LARGE), Map.of());
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demands.put(LARGE, new AggregateDemand(LARGE, 0, 0, 0.05, 3, Long.MAX_VALUE));
        demand(RARE, 1, 0, 0.5);

        PlannedLoad load = planner.plan(replicas, new ServiceDemand(demands, 15), UNLIMITED).stream()
                .filter(planned -> planned.model().equals(RARE))
                .findFirst()
                .orElseThrow();

        assertEquals("r2", load.replicaId().value());
    }

    // Guards against calls that wait for a load without end, as its replica had dropped the checkpoint from its disk.
    @Test
    void modelWhoseLoadIsOverdueIsLoadedElsewhere() {
        ReplicaSnapshot loading = replica("r1", Set.of(IDLE), Set.of(RARE), Map.of());
        replicas.set(0, new ReplicaSnapshot(loading.state(), Map.of(), Optional.of(RARE), 2_000, true, true));
        replica("r2", Set.of(IDLE), Set.of(RARE), Map.of());
        demand(RARE, 1, 0, 0.2);

        assertEquals("r2", plannedLoadOf(RARE).replicaId().value());
    }

    // Guards against a second load from a store that is slow because of the first one.
    @Test
    void modelWhoseLoadFromStoreIsOverdueIsNotLoadedAgain() {
        ReplicaSnapshot loading = replica("r1", Set.of(IDLE), Set.of(IDLE), Map.of());
        replicas.set(0, new ReplicaSnapshot(loading.state(), Map.of(), Optional.of(RARE), 2_000, true, true));
        replica("r2", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(RARE, 1, 0, 0.2);

        assertFalse(planner.plan(replicas, new ServiceDemand(demands, 5), UNLIMITED).stream()
                .anyMatch(load -> load.model().equals(RARE)));
    }

    // Guards against a busy model whose calls wait for the store although a replica has its checkpoint.
    @Test
    void modelWithLocalCheckpointIsLoadedBeforeModelsFromStore() {
        replica("r1", Set.of(), Set.of(RARE), Map.of());
        demand(RARE, 1, 0, 0.1);
        demand(OTHER_BUSY, 8, 0, 2);

        assertEquals("r1", plannedLoadOf(RARE).replicaId().value());
    }

    // Guards against loads from the store of models that a replica has which is listed a moment later.
    @Test
    void missingCheckpointsAreNotFetchedWhileReplicasAreStillBeingListed() {
        replica("r1", Set.of(BUSY), Set.of(), Map.of());

        assertEquals(
                List.of(), planner.plan(replicas, new ServiceDemand(demands, 0), new StoreLoadLimits(9, 9, false)));
    }

    // Guards against speculative loads that evict what the deployment has placed for the first calls.
    @Test
    void idleServiceKeepsPlacedModels() {
        replica("r1", Set.of(BUSY, OTHER_BUSY), Set.of(BUSY, OTHER_BUSY), Map.of());

        assertEquals(List.of(), planner.plan(replicas, new ServiceDemand(demands, 0), UNLIMITED));
    }

    // Guards against models that are never loaded because their calls are refused before the next planning pass.
    @Test
    void modelWhoseCallsWereRefusedIsLoaded() {
        replica("r1", Set.of(IDLE), Set.of(IDLE), Map.of());
        demand(RARE, 0, 0, 0.3);

        List<PlannedLoad> plannedLoads =
                planner.plan(replicas, new ServiceDemand(demands, 5), new StoreLoadLimits(9, 9, false));

        assertEquals(
                List.of(RARE), plannedLoads.stream().map(PlannedLoad::model).toList());
    }

    private void demand(ModelName model, int waiting, int running, double callsPerSecond) {
        demands.put(model, new AggregateDemand(model, waiting, running, callsPerSecond, 0, 1_000));
    }

    private ReplicaSnapshot replica(
            String id, Set<ModelName> residents, Set<ModelName> onDisk, Map<ModelName, RunningCalls> running) {
        Map<ModelName, Set<String>> residentAdapters = new HashMap<>();
        residents.forEach(model -> residentAdapters.put(model, Set.of()));
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(1, 0, residentAdapters, Set.of(), onDisk));
        ReplicaSnapshot snapshot =
                new ReplicaSnapshot(new ReplicaState(listed, () -> 0), running, Optional.empty(), 0, false, true);
        replicas.add(snapshot);
        return snapshot;
    }

    private static EngineSpec engine() {
        Map<ModelName, ModelSpec> models = new HashMap<>();
        for (ModelName model : List.of(BUSY, OTHER_BUSY, RARE, IDLE)) {
            models.put(model, modelSpec(model, 60));
        }
        models.put(LARGE, modelSpec(LARGE, 120));
        return new EngineSpec(64, 130, 8, 2, models);
    }

    private static ModelSpec modelSpec(ModelName model, double megabytes) {
        return new ModelSpec(
                model, megabytes, 0.5, Duration.ofSeconds(6), Duration.ofMillis(800), Duration.ofMillis(400));
    }
}
