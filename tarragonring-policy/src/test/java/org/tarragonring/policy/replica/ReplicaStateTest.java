package org.tarragonring.policy.replica;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Registrations and reports can be older than the order updates that an entry has already received. If a stale one
 * changed the state, calls would be sent to unloaded models, or a further load would exceed the replica's memory.
 */
class ReplicaStateTest {

    private static final ModelName BUSY = new ModelName("busy");
    private static final ModelName RARE = new ModelName("rare");
    private static final long PROCESS_START_MILLIS = 1_000;
    private static final ReplicaProcess PROCESS =
            new ReplicaProcess(new UpstreamId("replica-1"), PROCESS_START_MILLIS, Optional.empty());
    private static final Optional<SoftwareVersion> SOFTWARE = Optional.of(new SoftwareVersion("v1"));

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaState state = new ReplicaState(listed(PROCESS_START_MILLIS, Set.of(BUSY)), clock);

    @Test
    void staleReportWithSameOrderCountDoesNotRemoveLoadedModel() {
        state.mergeHoldings(holdings(PROCESS_START_MILLIS, 0, Set.of(BUSY)));
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of()), Optional.of(RARE), nowMillis + 6_000);
        nowMillis += 6_000;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of(BUSY, RARE)), true);
        state.mergeHoldings(holdings(PROCESS_START_MILLIS, 1, Set.of(BUSY)));

        assertTrue(state.holds(RARE, ""), "the report is older than the registration that shows the completed load");
        assertEquals(Optional.empty(), state.loading());
    }

    @Test
    void reportThatStillListsUnloadingModelDoesNotRestoreIt() {
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of(), RARE, Set.of()), Optional.empty(), nowMillis);
        state.onOrderState(PROCESS, 2, Map.of(BUSY, Set.of()), Optional.empty(), nowMillis);
        state.onUnloadAccepted(RARE);

        state.mergeHoldings(holdings(PROCESS_START_MILLIS, 2, Set.of(BUSY, RARE)));

        assertFalse(state.holds(RARE, ""));
    }

    @Test
    void staleReportDoesNotRestoreUnloadedAdapter() {
        state.mergeHoldings(
                new Holdings(PROCESS_START_MILLIS, 1, Map.of(BUSY, Set.of("a1", "a2")), Set.of(), Set.of()));
        state.onOrderState(PROCESS, 2, Map.of(BUSY, Set.of("a2")), Optional.empty(), nowMillis);

        state.mergeHoldings(
                new Holdings(PROCESS_START_MILLIS, 2, Map.of(BUSY, Set.of("a1", "a2")), Set.of(), Set.of()));

        assertEquals(Map.of(BUSY, Set.of("a2")), state.residents());
    }

    @Test
    void overdueLoadWithoutLiveLeaseHolderIsCompletedByRegistration() {
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of()), Optional.of(RARE), nowMillis + 800);
        nowMillis += 800 + ReplicaState.MAX_LOAD_OVERDUE_MILLIS;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of(RARE)), true);

        assertTrue(state.holds(RARE, ""));
        assertTrue(
                state.holds(BUSY, ""), "a registration must not change other residents while order updates are recent");
        assertEquals(Optional.empty(), state.loading());
    }

    @Test
    void registrationDoesNotCompleteLoadThatIsNotYetOverdue() {
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of()), Optional.of(RARE), nowMillis + 800);
        nowMillis += 800 + ReplicaState.MAX_LOAD_OVERDUE_MILLIS - 1;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of(BUSY, RARE)), true);

        assertEquals(Optional.of(RARE), state.loading());
    }

    @Test
    void overdueLoadWithoutUpdatesExpires() {
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of()), Optional.of(RARE), nowMillis + 800);
        nowMillis += 800 + ReplicaState.MAX_LIST_LAG_MILLIS;

        assertEquals(Optional.empty(), state.loading());
    }

    @Test
    void listedResidentsAreIgnoredWhileOrderUpdatesAreRecent() {
        state.onOrderState(PROCESS, 1, Map.of(RARE, Set.of()), Optional.empty(), nowMillis);
        nowMillis += ReplicaState.MAX_LIST_LAG_MILLIS - 1;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of(BUSY)), true);

        assertTrue(state.holds(RARE, ""));
        assertFalse(state.holds(BUSY, ""));
    }

    @Test
    void listedResidentsAreAppliedOnceOrderUpdatesAreOld() {
        state.onOrderState(PROCESS, 1, Map.of(RARE, Set.of()), Optional.empty(), nowMillis);
        nowMillis += ReplicaState.MAX_LIST_LAG_MILLIS;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of(BUSY)), true);

        assertTrue(state.holds(BUSY, ""));
        assertFalse(state.holds(RARE, ""));
    }

    @Test
    void staleRegistrationDoesNotChangeResidentsAtLeaseHolder() {
        state.onOrderState(PROCESS, 1, Map.of(RARE, Set.of()), Optional.empty(), nowMillis);
        nowMillis += 60_000;

        state.onListed(listed(PROCESS_START_MILLIS, Set.of()), false);

        assertTrue(
                state.holds(RARE, ""),
                "the registration was stale; another load would have exceeded the replica's memory");
    }

    @Test
    void replicaRestartResetsResidentsAtLeaseHolder() {
        state.onOrderState(PROCESS, 1, Map.of(RARE, Set.of()), Optional.empty(), nowMillis);

        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), false);

        assertFalse(state.holds(RARE, ""));
    }

    @Test
    void replicaRestartClearsResidentsLoadAndOrderCount() {
        state.onOrderState(PROCESS, 5, Map.of(BUSY, Set.of("a1")), Optional.of(RARE), nowMillis + 500);

        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), true);

        assertEquals(Map.of(), state.residents());
        assertEquals(Optional.empty(), state.loading());
        assertEquals(Holdings.UNKNOWN_ORDER_COUNT, state.acceptedOrders());
    }

    @Test
    void reportOfEarlierReplicaProcessIsIgnored() {
        state.mergeHoldings(holdings(PROCESS_START_MILLIS - 1, 9, Set.of(RARE)));

        assertFalse(state.holds(RARE, ""));
    }

    @Test
    void noticeWithFewerOrdersIsIgnored() {
        state.onOrderState(PROCESS, 3, Map.of(BUSY, Set.of()), Optional.empty(), nowMillis);
        state.onOrderState(PROCESS, 2, Map.of(RARE, Set.of()), Optional.empty(), nowMillis);

        assertTrue(state.holds(BUSY, ""));
    }

    @Test
    void unavailableAdapterIsTemporarilyUnusedButStillCountsAsResident() {
        state.onOrderState(PROCESS, 1, Map.of(BUSY, Set.of("a1", "a2")), Optional.empty(), nowMillis);

        state.markUnavailable(BUSY, "a1", 50);

        assertFalse(state.canRun(BUSY, "a1"));
        assertTrue(
                state.holds(BUSY, "a1"),
                "if it did not count, a ninth adapter would be ordered, one more than the limit of 8");
        assertTrue(state.canRun(BUSY, "a2"));
        assertTrue(state.canRun(BUSY, ""));
        nowMillis += 50;
        assertTrue(state.canRun(BUSY, "a1"));
    }

    @Test
    void leavingReplicaStaysSoUntilItRegistersAsANewProcess() {
        assertTrue(state.availability().onLeaving(PROCESS_START_MILLIS));
        assertFalse(state.availability().onLeaving(PROCESS_START_MILLIS), "told twice");

        state.onListed(listed(PROCESS_START_MILLIS, Set.of()), true);
        assertTrue(state.availability().isLeaving());
        state.mergeHoldings(holdings(PROCESS_START_MILLIS + 1, 0, Set.of()));
        assertTrue(state.availability().isLeaving());

        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), true);
        assertFalse(state.availability().isLeaving());
        assertFalse(state.availability().onLeaving(PROCESS_START_MILLIS), "told by the process before");
    }

    // Guards against a late registration that puts back a replica which started again and is to shut down again.
    @Test
    void registrationOfAProcessThatIsLeavingItselfDoesNotPutTheReplicaBack() {
        state.availability().onLeaving(PROCESS_START_MILLIS);

        assertTrue(state.availability().onLeaving(PROCESS_START_MILLIS + 1));
        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), true);

        assertTrue(state.availability().isLeaving());
    }

    @Test
    void pauseEndsAfterItsTimeOrWithTheProcess() {
        state.availability().pauseFor(Duration.ofSeconds(2));
        state.availability().pauseFor(Duration.ofSeconds(1));
        nowMillis += 1_500;
        assertEquals(500, state.availability().pauseMillis());
        nowMillis += 500;
        assertEquals(0, state.availability().pauseMillis());

        state.availability().pauseFor(Duration.ofDays(1));
        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), true);
        assertEquals(0, state.availability().pauseMillis());
    }

    @Test
    void softwareIsThatOfTheRegisteredProcess() {
        assertEquals(SOFTWARE, state.process().software());
        state.onOrderState(PROCESS, 1, Map.of(), Optional.empty(), nowMillis);
        assertEquals(SOFTWARE, state.process().software());
    }

    // Guards against the version of a replica's old process being taken for that of its new one.
    @Test
    void softwareOfANewProcessIsUnknownUntilASourceTellsIt() {
        ReplicaProcess restarted = new ReplicaProcess(state.id(), PROCESS_START_MILLIS + 1, Optional.empty());
        state.onOrderState(restarted, 0, Map.of(), Optional.empty(), nowMillis);
        assertEquals(Optional.empty(), state.process().software());

        state.onListed(listed(PROCESS_START_MILLIS, Set.of()), true);
        assertEquals(Optional.empty(), state.process().software());

        state.onListed(listed(PROCESS_START_MILLIS + 1, Set.of()), true);
        assertEquals(SOFTWARE, state.process().software());
    }

    @Test
    void reportOfANewProcessLeavesItsSoftwareUnknown() {
        state.mergeHoldings(holdings(PROCESS_START_MILLIS + 1, 0, Set.of()));
        assertEquals(Optional.empty(), state.process().software());

        state.replaceHoldings(holdings(PROCESS_START_MILLIS + 2, 0, Set.of()));
        assertEquals(PROCESS_START_MILLIS + 2, state.process().startMillis());
        assertEquals(Optional.empty(), state.process().software());
    }

    @Test
    void noticeOfANewProcessReplacesTheSoftware() {
        Optional<SoftwareVersion> newer = Optional.of(new SoftwareVersion("v2"));
        state.onOrderState(
                new ReplicaProcess(state.id(), PROCESS_START_MILLIS + 1, newer),
                0,
                Map.of(),
                Optional.empty(),
                nowMillis);

        assertEquals(newer, state.process().software());
    }

    private static ListedReplica listed(long processStartMillis, Set<ModelName> models) {
        return new ListedReplica(
                new UpstreamId("replica-1"),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                holdings(processStartMillis, Holdings.UNKNOWN_ORDER_COUNT, models));
    }

    private static Holdings holdings(long processStartMillis, long acceptedOrders, Set<ModelName> models) {
        Map<ModelName, Set<String>> residents = models.stream().collect(Collectors.toMap(m -> m, m -> Set.of()));
        return new Holdings(processStartMillis, acceptedOrders, residents, Set.of(), Set.of());
    }
}
