package org.tarragonring.gateway.forward;

import java.time.Duration;
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

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaCatalog catalog = new ReplicaCatalog(clock, new Ejections(clock));
    private final LoadExpectation expectation = new LoadExpectation(
            catalog,
            clock,
            (delay, action) -> () -> {},
            (service, model) -> Optional.of(new ModelSpec(
                    model, 60, 0.5, Duration.ofSeconds(13), Duration.ofMillis(800), Duration.ofMillis(400))));

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
        addReplica(Set.of(MODEL));

        assertTrue(expectation.canBeServed(exchange(Duration.ofMillis(2_500))));
        assertFalse(expectation.isLoadExpected(exchange(Duration.ofMillis(2_500))));
    }

    private void startLoad(long durationMillis) {
        addReplica(Set.of());
        ReplicaState replica = catalog.find(REPLICA).orElseThrow();
        replica.onOrderState(replica.process(), 1, Map.of(), Optional.of(MODEL), nowMillis + durationMillis);
    }

    private void addReplica(Set<ModelName> onDisk) {
        catalog.put(new ListedReplica(
                REPLICA,
                SERVICE,
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(1, 0, Map.of(), Set.of(), onDisk)));
    }

    private Exchange exchange(Duration objective) {
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
                nowMillis,
                nowMillis + 15_000,
                nowMillis + 10_000);
    }
}
