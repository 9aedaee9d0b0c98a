package org.tarragonring.gateway.planning;

import java.util.Map;
import java.util.Optional;
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
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PendingLoadsTest {

    private static final ModelName MODEL = new ModelName("m1");
    private static final long PROCESS_START_MILLIS = 1;

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaState replica = new ReplicaState(
            new ListedReplica(
                    new UpstreamId("r1"),
                    new ServiceName("assistant"),
                    new HostPort("10.0.0.1", 80),
                    "d",
                    new SoftwareVersion("v1"),
                    8,
                    false,
                    new Holdings(PROCESS_START_MILLIS, 4, Map.of(), Set.of(), Set.of())),
            clock);
    private final PendingLoads pendingLoads = new PendingLoads(clock);

    @Test
    void noLoadIsInProgressInitially() {
        assertEquals(Optional.empty(), pendingLoads.inProgress(replica));
        assertTrue(pendingLoads.mayPlanFor(replica.id()));
    }

    @Test
    void plannedLoadCountsAsInProgress() {
        pendingLoads.add(replica, MODEL, 700);
        nowMillis += 200;

        assertEquals(Optional.of(new PendingLoads.LoadInProgress(MODEL, 500, false)), pendingLoads.inProgress(replica));
    }

    @Test
    void loadThatIsNotStartedIsForgottenAndItsReplicaAvoidedTemporarily() {
        pendingLoads.add(replica, MODEL, 6_000);
        nowMillis += PendingLoads.START_TIMEOUT.toMillis();

        assertEquals(Optional.empty(), pendingLoads.inProgress(replica));
        assertFalse(pendingLoads.mayPlanFor(replica.id()));
        nowMillis += PendingLoads.AVOIDANCE.toMillis();
        assertTrue(pendingLoads.mayPlanFor(replica.id()));
    }

    @Test
    void loadWhosePrecedingUnloadWasAcceptedStaysInProgress() {
        pendingLoads.add(replica, MODEL, 3_000);
        replica.onOrderState(replica.process(), 5, Map.of(), Optional.empty(), 0);
        nowMillis += PendingLoads.START_TIMEOUT.toMillis();

        assertEquals(MODEL, pendingLoads.inProgress(replica).orElseThrow().model());
        assertTrue(pendingLoads.mayPlanFor(replica.id()));
    }

    @Test
    void loadDroppedByALiveHolderIsForgottenWithoutAvoidingItsReplica() {
        pendingLoads.add(replica, MODEL, 6_000);
        nowMillis += PendingLoads.START_TIMEOUT.toMillis() - 100;
        replica.onOrderState(replica.process(), 4, Map.of(), Optional.empty(), 0);
        assertEquals(MODEL, pendingLoads.inProgress(replica).orElseThrow().model());
        nowMillis += 100;

        assertEquals(Optional.empty(), pendingLoads.inProgress(replica));
        assertTrue(pendingLoads.mayPlanFor(replica.id()));
    }

    @Test
    void loadThatIsTooLongOverdueIsForgotten() {
        pendingLoads.add(replica, MODEL, 100);
        replica.onOrderState(replica.process(), 5, Map.of(), Optional.empty(), 0);
        nowMillis += 100 + PendingLoads.MAX_OVERDUE.toMillis();

        assertEquals(Optional.empty(), pendingLoads.inProgress(replica));
    }

    @Test
    void loadOfAResidentModelIsNoLongerInProgress() {
        pendingLoads.add(replica, MODEL, 700);
        replica.onOrderState(replica.process(), 5, Map.of(MODEL, Set.of()), Optional.empty(), 0);

        assertEquals(Optional.empty(), pendingLoads.inProgress(replica));
    }

    // Guards against a load that is forgotten because another replica has loaded the same model sooner.
    @Test
    void loadsOfOneModelOnTwoReplicasEndIndependently() {
        ListedReplica listed = replica.listed();
        ReplicaState sooner = new ReplicaState(
                new ListedReplica(
                        new UpstreamId("r2"),
                        listed.service(),
                        listed.address(),
                        listed.failureDomain(),
                        listed.software(),
                        listed.slots(),
                        false,
                        listed.holdings()),
                clock);
        pendingLoads.add(replica, MODEL, 17_000);
        pendingLoads.add(sooner, MODEL, 500);
        replica.onOrderState(replica.process(), 5, Map.of(), Optional.of(MODEL), nowMillis + 17_000);
        sooner.onOrderState(sooner.process(), 5, Map.of(MODEL, Set.of()), Optional.empty(), 0);
        nowMillis += 1_000;

        assertEquals(Optional.empty(), pendingLoads.inProgress(sooner));
        assertEquals(
                Optional.of(new PendingLoads.LoadInProgress(MODEL, 16_000, false)), pendingLoads.inProgress(replica));
    }
}
