package org.tarragonring.policy.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ModelName;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * A model with one local checkpoint is missing for as long as a load from the weight store takes once its replica is lost;
 * a copy that is fetched blocks a replica for as long. Each test covers the demand in its name.
 */
class CheckpointSpreadTest {

    private static final StoreLoadLimits LIMITS = new StoreLoadLimits(9, 4, true);
    private static final ModelName STEADY = PlanningScenario.model("steady");

    /** The rate at which a copy on an unused replica pays, and below that of a second resident replica. */
    private static final double STEADY_CALLS_PER_SECOND = 1.4;

    private final PlanningScenario scenario = new PlanningScenario("domain-a", "domain-b");

    // Guards against a model that is gone with one replica although others have nothing to do.
    @Test
    void steadyModelGetsCheckpointOnUnusedReplicaOfAnotherFailureDomain() {
        twoBusyReplicas().replica("r3", Set.of(), Set.of()).replica("r4", Set.of(), Set.of());

        assertEquals(Optional.of("r4"), copyOf(STEADY, LIMITS));
    }

    // Guards against copies that delay the adapters and swaps of models in use by seconds.
    @Test
    void replicaWithCallsOfItsOwnGetsNoCopy() {
        twoBusyReplicas()
                .replica("r3", Set.of("c"), Set.of("c"))
                .replica("r4", Set.of("d"), Set.of("d"))
                .demand("c", 0, 1, 0.9)
                .demand("d", 0, 1, 0.9);

        assertEquals(Optional.empty(), copyOf(STEADY, LIMITS));
    }

    // Guards against copies that block the only replica that can swap in other models.
    @Test
    void replicaWithTheOnlyCheckpointOfCalledModelGetsNoCopy() {
        twoBusyReplicas()
                .replica("r3", Set.of(), Set.of("c"))
                .replica("r4", Set.of(), Set.of("d"))
                .demand("c", 0, 0, 0.5)
                .demand("d", 0, 0, 0.5);

        assertEquals(Optional.empty(), copyOf(STEADY, LIMITS));
    }

    // Guards against a copy for a burst that is over before the copy is there.
    @Test
    void modelWithBurstGetsNoCopy() {
        twoBusyReplicas().replica("r3", Set.of(), Set.of()).replica("r4", Set.of(), Set.of());
        scenario.demands.put(STEADY, new AggregateDemand(STEADY, 0, 2, STEADY_CALLS_PER_SECOND, 2, Long.MAX_VALUE));

        assertEquals(Optional.empty(), copyOf(STEADY, LIMITS));
    }

    // Guards against copies that keep the weight store from loads that calls wait for.
    @Test
    void storeWithLoadInProgressServesNoCopy() {
        twoBusyReplicas().loading("r3", Set.of(), Set.of(), "rare", 9_000).replica("r4", Set.of(), Set.of());

        assertEquals(Optional.empty(), copyOf(STEADY, new StoreLoadLimits(9, 2, true)));
        assertEquals(Optional.of("r4"), copyOf(STEADY, LIMITS));
    }

    // Guards against a model that is gone with one failure domain although two of its replicas have it.
    @Test
    void veryBusyModelInOneFailureDomainGetsCheckpointInAnother() {
        scenario.replica("r1", Set.of("steady"), Set.of("steady"))
                .replica("r2", Set.of(), Set.of())
                .replica("r3", Set.of("steady"), Set.of("steady"))
                .demand("steady", 0, 10, 20);

        assertEquals(Optional.of("r2"), copyOf(STEADY, LIMITS));
    }

    @Test
    void modelInTwoFailureDomainsGetsNoCopy() {
        scenario.replica("r1", Set.of("steady"), Set.of("steady"))
                .replica("r2", Set.of("steady"), Set.of("steady"))
                .replica("r3", Set.of(), Set.of())
                .demand("steady", 0, 10, 20);

        assertEquals(Optional.empty(), copyOf(STEADY, LIMITS));
    }

    @Test
    void modelWithMostCostlyLossIsCopiedFirst() {
        twoBusyReplicas().replica("r3", Set.of("other"), Set.of("other")).replica("r4", Set.of(), Set.of());
        scenario.demand("other", 0, 1, STEADY_CALLS_PER_SECOND + 0.05);

        assertEquals(Optional.empty(), copyOf(STEADY, new StoreLoadLimits(9, 2, true)));
        assertEquals(Optional.of("r4"), copyOf(PlanningScenario.model("other"), new StoreLoadLimits(9, 2, true)));
    }

    /** Adds two replicas with most of the calls, one of which has the only checkpoint of the model in steady demand. */
    private PlanningScenario twoBusyReplicas() {
        return scenario.replica("r1", Set.of("busy", "steady"), Set.of("busy", "steady"))
                .replica("r2", Set.of("busy"), Set.of("busy"))
                .demand("busy", 0, 8, 8)
                .demand("steady", 0, 1, STEADY_CALLS_PER_SECOND);
    }

    private Optional<String> copyOf(ModelName model, StoreLoadLimits limits) {
        List<PlannedLoad> copies = scenario.plan(limits).stream()
                .filter(load -> load.reason() == PlannedLoad.Reason.SPREAD_COPY)
                .filter(load -> load.model().equals(model))
                .toList();
        return copies.stream().map(load -> load.replicaId().value()).findFirst();
    }
}
