package org.tarragonring.gateway.planning;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DecidedLoadsTest {

    private static final ModelName MODEL = new ModelName("m1");
    private static final long BORN_MILLIS = 1;

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaState replica = new ReplicaState(
            new ListedReplica(
                    new UpstreamId("r1"),
                    new ServiceName("assistant"),
                    new HostPort("10.0.0.1", 80),
                    "d",
                    8,
                    false,
                    new Holdings(BORN_MILLIS, 4, Map.of(), Set.of(), Set.of())),
            clock);
    private final DecidedLoads loads = new DecidedLoads(clock);

    @Test
    void nothingIsUnderWayAtFirst() {
        assertEquals(Optional.empty(), loads.underWay(replica));
        assertTrue(loads.isCarriedOut(replica.id()));
    }

    @Test
    void decidedLoadCountsAsUnderWay() {
        loads.decide(replica, MODEL, 700);
        nowMillis += 200;

        assertEquals(Optional.of(new DecidedLoads.UnderWay(MODEL, 500)), loads.underWay(replica));
    }

    @Test
    void loadThatNobodyStartsIsGivenUpAndItsReplicaAvoidedForAWhile() {
        loads.decide(replica, MODEL, 6_000);
        nowMillis += DecidedLoads.ACCEPT_LIMIT.toMillis();

        assertEquals(Optional.empty(), loads.underWay(replica));
        assertFalse(loads.isCarriedOut(replica.id()));
        nowMillis += DecidedLoads.AVOIDANCE.toMillis();
        assertTrue(loads.isCarriedOut(replica.id()));
    }

    @Test
    void loadWhoseUnloadWasAcceptedIsWaitedFor() {
        loads.decide(replica, MODEL, 3_000);
        replica.onOrderState(BORN_MILLIS, 5, Map.of(), Optional.empty(), 0);
        nowMillis += DecidedLoads.ACCEPT_LIMIT.toMillis();

        assertEquals(MODEL, loads.underWay(replica).orElseThrow().model());
        assertTrue(loads.isCarriedOut(replica.id()));
    }

    @Test
    void loadThatAHolderDroppedIsDecidedAgainWithoutAvoidingItsReplica() {
        loads.decide(replica, MODEL, 6_000);
        nowMillis += DecidedLoads.ACCEPT_LIMIT.toMillis() - 100;
        replica.onOrderState(BORN_MILLIS, 4, Map.of(), Optional.empty(), 0);
        assertEquals(MODEL, loads.underWay(replica).orElseThrow().model());
        nowMillis += 100;

        assertEquals(Optional.empty(), loads.underWay(replica));
        assertTrue(loads.isCarriedOut(replica.id()));
    }

    @Test
    void loadThatIsLongOverdueIsForgotten() {
        loads.decide(replica, MODEL, 100);
        replica.onOrderState(BORN_MILLIS, 5, Map.of(), Optional.empty(), 0);
        nowMillis += 100 + DecidedLoads.MARGIN.toMillis();

        assertEquals(Optional.empty(), loads.underWay(replica));
    }

    @Test
    void residentModelIsNoLongerUnderWay() {
        loads.decide(replica, MODEL, 700);
        replica.onOrderState(BORN_MILLIS, 5, Map.of(MODEL, Set.of()), Optional.empty(), 0);

        assertEquals(Optional.empty(), loads.underWay(replica));
    }
}
