package org.tarragonring.policy.placement;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ModelName;
import org.tarragonring.upstream.CheckpointTier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Calls that wait behind a slow load are refused although a replica could have loaded their model sooner. Each test covers
 * the load pattern in its name.
 */
class SlowLoadPlanningTest {

    /** A weight store that has no room for another load. */
    private static final StoreLoadLimits NO_STORE_LOADS = new StoreLoadLimits(0, 1, true);

    private static final StoreLoadLimits MANY_STORE_LOADS = new StoreLoadLimits(9, 9, true);

    private static final ModelName CALLED = PlanningScenario.model("called");

    private final PlanningScenario scenario = new PlanningScenario("domain-a", "domain-b");

    // Guards against 261 of 954 refusals of a day: a load of 17 s hid a replica that had come back with the model on
    // disk,
    // and that replica loaded models for which no call waited.
    @Test
    void replicaThatComesBackLoadsTheModelOfCallsBehindSlowLoad() {
        scenario.loading("r1", Set.of("idle"), Set.of("idle"), "called", 17_000)
                .replica("returned", Set.of(), Set.of("called", "other", "unused"))
                .demand("called", 5, 0, 2)
                .demand("other", 0, 0, 0.3);

        List<PlannedLoad> plannedLoads = scenario.plan(NO_STORE_LOADS);

        assertEquals(1, plannedLoads.size(), plannedLoads.toString());
        PlannedLoad load = plannedLoads.get(0);
        assertEquals(CALLED, load.model());
        assertEquals("returned", load.replicaId().value());
        assertEquals(CheckpointTier.DISK, load.tier());
        assertEquals(PlannedLoad.Reason.SOONER_CHECKPOINT, load.reason());
        assertEquals(PlanningScenario.DISK_LOAD_MILLIS, load.expectedDurationMillis());
    }

    @Test
    void secondLoadIsNotRepeatedWhileItIsInProgress() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 17_000)
                .loading("r2", Set.of(), Set.of("called"), "called", 1_000)
                .replica("r3", Set.of(), Set.of("called"))
                .demand("called", 5, 0, 2);

        assertFalse(isPlanned(CALLED, NO_STORE_LOADS));
    }

    // Guards against a second load that ends hardly sooner, as expected ends are not exact.
    @Test
    void loadThatEndsSoonIsNotReplaced() {
        long tooSoonMillis = PlanningScenario.DISK_LOAD_MILLIS + SlowLoads.MIN_SAVED_MILLIS - 1;
        scenario.loading("r1", Set.of(), Set.of(), "called", tooSoonMillis)
                .replica("r2", Set.of(), Set.of("called"))
                .demand("called", 5, 0, 2);

        assertFalse(isPlanned(CALLED, NO_STORE_LOADS));
    }

    // Guards against a second load whose replica then loads no adapter for its busy models.
    @Test
    void loadIsNotReplacedAtHigherCostToBusyModelThanTheWaitingCallSaves() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 4_000)
                .replica("r2", Set.of("busy", "busier"), Set.of("busy", "busier", "called"))
                .demand("called", 1, 0, 0.1)
                .demand("busy", 0, 6, 5)
                .demand("busier", 0, 6, 6);

        assertFalse(isPlanned(CALLED, NO_STORE_LOADS));
    }

    // Guards against a model whose calls wait for the store twice: a second load from there ends after the first.
    @Test
    void slowLoadIsNotReplacedByLoadFromStore() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 17_000)
                .replica("r2", Set.of(), Set.of("other"))
                .demand("called", 5, 0, 2);

        assertFalse(isPlanned(CALLED, MANY_STORE_LOADS));
    }

    @Test
    void secondLoadOfModelWithoutWaitingCallsIsNotPlanned() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 17_000)
                .replica("r2", Set.of(), Set.of("called"))
                .demand("called", 0, 0, 0.5);

        assertFalse(isPlanned(CALLED, NO_STORE_LOADS));
    }

    // Guards against one call for a rare model that takes the only free replica from a queue behind a slow load.
    @Test
    void queueWithMostToLoseIsPlannedFirst() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 17_000)
                .replica("r2", Set.of(), Set.of("called", "rare"))
                .demand("called", 5, 0, 2)
                .demand("rare", 1, 0, 0.1, 100);

        assertEquals(CALLED, scenario.plan(NO_STORE_LOADS).get(0).model());
    }

    // Guards against a replica that starts another load just before it could serve the queue.
    @Test
    void replicaThatIsFreeSoonIsKeptForTheQueueBehindSlowLoad() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 17_000)
                .loading("r2", Set.of(), Set.of("called", "rare"), "other", 300)
                .replica("r3", Set.of(), Set.of("rare"))
                .demand("called", 5, 0, 2)
                .demand("rare", 1, 0, 0.1);

        List<PlannedLoad> plannedLoads = scenario.plan(NO_STORE_LOADS);

        assertEquals(1, plannedLoads.size(), plannedLoads.toString());
        assertEquals("r3", plannedLoads.get(0).replicaId().value());
    }

    // Guards against a fetch that blocks the only replica with the checkpoint of a model with waiting calls for
    // seconds.
    @Test
    void onlyReplicaWithCheckpointOfWaitingCallsFetchesNoMissingCheckpoint() {
        scenario.loading("r1", Set.of("placed"), Set.of("called", "placed"), "called", 3_500)
                .replica("r2", Set.of("frequent"), Set.of("frequent", "called"))
                .demand("called", 1, 0, 0)
                .demand("placed", 0, 1, 0.9)
                .demand("frequent", 0, 1, 0.9)
                .demand("missing", 0, 0, 0);

        assertEquals(List.of(), scenario.plan(MANY_STORE_LOADS));
    }

    // Guards against a load into free memory on the replica that is to serve a queue, if the second load does not pay
    // yet.
    @Test
    void onlyReplicaWithCheckpointOfWaitingCallsFillsNoFreeMemory() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 3_500)
                .replica("r2", Set.of("frequent"), Set.of("frequent", "called", "unused"))
                .demand("called", 1, 0, 0)
                .demand("frequent", 0, 1, 0.9);

        assertEquals(List.of(), scenario.plan(NO_STORE_LOADS));
    }

    // Guards against replicas that stay unused for calls which are served soon anyway.
    @Test
    void replicaIsNotKeptForCallsWhoseLoadEndsSoon() {
        scenario.loading("r1", Set.of(), Set.of(), "called", 1_000)
                .replica("r2", Set.of(), Set.of("called", "unused"))
                .demand("called", 1, 0, 0);

        assertTrue(isPlanned(PlanningScenario.model("unused"), NO_STORE_LOADS));
    }

    private boolean isPlanned(ModelName model, StoreLoadLimits limits) {
        return scenario.plan(limits).stream().anyMatch(load -> load.model().equals(model));
    }
}
