package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.quota.QuotaReservation;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.WeightedService;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A call that waits for a model that is not loaded in time keeps its caller from trying again. */
class LoadExpectationTest {

    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final ModelName MODEL = new ModelName("m1");
    private static final UpstreamId REPLICA = new UpstreamId("r1");

    private static final UpstreamId OTHER_REPLICA = new UpstreamId("r2");
    private static final long START_MILLIS = 10_000;

    /** The time of the last check: 45% of the first-event timeout of 10 s. */
    private static final long LAST_CHECK_MILLIS = 4_500;

    private long nowMillis = START_MILLIS;
    private final List<Check> checks = new ArrayList<>();
    private Duration storeLoadTime = Duration.ofSeconds(13);
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaCatalog catalog = new ReplicaCatalog(clock, new Ejections(clock));
    private final LoadExpectation expectation = new LoadExpectation(
            catalog,
            clock,
            (delay, action) -> {
                checks.add(new Check(nowMillis + delay.toMillis(), action));
                return () -> {};
            },
            (service, model) -> Optional.of(
                    new ModelSpec(model, 60, 0.5, storeLoadTime, Duration.ofMillis(800), Duration.ofMillis(400))));

    // Guards against calls that are held for half of their time although nothing is loaded for them.
    @Test
    void callWithoutLoadIsRefusedWhenNoLoadFromDiskCouldMeetItsObjective() {
        assertEquals(Duration.ofMillis(1_700), expectation.firstCheckDelay(exchange(Duration.ofMillis(2_500))));
    }

    @Test
    void callWithShortObjectiveWaitsUntilItsLoadCanHaveBeenPlanned() {
        assertEquals(Duration.ofMillis(300), expectation.firstCheckDelay(exchange(Duration.ofMillis(500))));
    }

    @Test
    void callWaitsForLoadThatEndsBeforeItsDeadline() {
        startLoad(9_000);

        assertTrue(expectation.isLoadExpected(exchange(Duration.ofMillis(2_500))));
        assertTrue(expectation.canBeServed(exchange(Duration.ofMillis(2_500))));
    }

    @Test
    void callDoesNotWaitForLoadThatEndsAfterItsDeadline() {
        startLoad(12_000);

        assertFalse(expectation.isLoadExpected(exchange(Duration.ofMillis(2_500))));
        assertFalse(expectation.canBeServed(exchange(Duration.ofMillis(2_500))));
    }

    // Guards against calls that are refused while a replica only waits for running calls before it loads their model.
    @Test
    void callWaitsForReplicaThatCanLoadItsModelFromDisk() {
        addReplica(REPLICA, Set.of(MODEL));

        assertTrue(expectation.canBeServed(exchange(Duration.ofMillis(2_500))));
        assertFalse(expectation.isLoadExpected(exchange(Duration.ofMillis(2_500))));
    }

    // Guards against calls of teams that are held although a load that ends in time is impossible.
    @Test
    void callIsTooLateIfNeitherACheckpointNorANewLoadCanServeIt() {
        addReplica(REPLICA, Set.of());
        assertTrue(expectation.isTooLateForAnyLoad(exchange(Duration.ofMillis(2_500))));

        addReplica(REPLICA, Set.of(MODEL));
        assertFalse(expectation.isTooLateForAnyLoad(exchange(Duration.ofMillis(2_500))));
    }

    // Guards against refusals of calls for which the weight store can still load their model.
    @Test
    void callWaitsWhileALoadFromTheStoreThatBeginsNowEndsInTime() {
        storeLoadTime = Duration.ofSeconds(9);
        addReplica(REPLICA, Set.of());

        assertFalse(expectation.isTooLateForAnyLoad(exchange(Duration.ofMillis(2_500))));
        nowMillis += 1_000;
        assertTrue(expectation.isTooLateForAnyLoad(exchange(Duration.ofMillis(2_500), nowMillis - 1_000)));
    }

    // Guards against calls that are refused by the slower of two loads of their model.
    @Test
    void callWaitsForTheFirstOfTwoLoads() {
        startLoad(REPLICA, 17_000);
        startLoad(OTHER_REPLICA, 1_500);

        assertTrue(expectation.isLoadExpected(exchange(Duration.ofMillis(2_500))));
    }

    // Guards against calls that are refused just before the replica that has come back with their model loads it.
    @Test
    void callBehindSlowLoadWaitsUntilTheSoonerLoadIsPlanned() {
        startLoad(REPLICA, 17_000);
        addReplica(OTHER_REPLICA, Set.of(MODEL));
        List<String> refusals = new ArrayList<>();

        expectation.scheduleChecks(exchange(Duration.ofMillis(2_500)), call -> true, refusals::add);

        advanceTo(LAST_CHECK_MILLIS);
        assertEquals(List.of(), refusals, "refused before the sooner load can have been planned");
        advanceTo(LAST_CHECK_MILLIS + 300);
        assertEquals(1, refusals.size(), "held although no sooner load was planned");
    }

    @Test
    void callBehindSlowLoadWithoutSoonerOneIsRefusedAtTheLastCheck() {
        startLoad(REPLICA, 17_000);

        assertEquals(Duration.ZERO, expectation.soonerLoadDelay(exchange(Duration.ofMillis(2_500))));
    }

    @Test
    void callWithoutLoadInProgressIsRefusedAtTheLastCheck() {
        addReplica(REPLICA, Set.of(MODEL));

        assertEquals(Duration.ZERO, expectation.soonerLoadDelay(exchange(Duration.ofMillis(2_500))));
    }

    private void advanceTo(long offsetMillis) {
        nowMillis = START_MILLIS + offsetMillis;
        List<Check> due =
                checks.stream().filter(check -> check.atMillis <= nowMillis).toList();
        checks.removeAll(due);
        due.forEach(check -> check.action.run());
    }

    private record Check(long atMillis, Runnable action) {}

    private void startLoad(long durationMillis) {
        startLoad(REPLICA, durationMillis);
    }

    private void startLoad(UpstreamId id, long durationMillis) {
        addReplica(id, Set.of());
        ReplicaState replica = catalog.find(id).orElseThrow();
        replica.onOrderState(replica.process(), 1, Map.of(), Optional.of(MODEL), nowMillis + durationMillis);
    }

    private void addReplica(UpstreamId id, Set<ModelName> onDisk) {
        catalog.put(new ListedReplica(
                id,
                SERVICE,
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(1, 0, Map.of(), Set.of(), onDisk)));
    }

    private Exchange exchange(Duration objective) {
        return exchange(objective, nowMillis);
    }

    private Exchange exchange(Duration objective, long arrivalMillis) {
        Route route = new Route(
                "quotes",
                "host",
                "/",
                RouteKind.STREAM,
                Duration.ofSeconds(15),
                objective,
                Duration.ofMillis(400),
                1,
                2,
                true,
                false,
                List.of(new WeightedService(SERVICE, 1)));
        CallHead head = new CallHead(
                "call",
                Optional.empty(),
                Optional.of(MODEL),
                "",
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return new Exchange(
                null,
                head,
                route,
                SERVICE,
                false,
                Optional.empty(),
                null,
                null,
                QuotaReservation.unlimited(),
                arrivalMillis,
                arrivalMillis + 15_000,
                arrivalMillis + 10_000);
    }
}
