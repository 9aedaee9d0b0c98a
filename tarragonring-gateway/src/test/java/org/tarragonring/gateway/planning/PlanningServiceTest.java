package org.tarragonring.gateway.planning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.GatewaySettings;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.Order;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.gateway.orders.OrderLeaseManager;
import org.tarragonring.gateway.orders.PausableStore;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.budget.RetryBudgetSettings;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.Delays;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The planning entry also serves calls; planning must not take up its processor. */
class PlanningServiceTest {

    private static final EntryId SELF = new EntryId("entry-1");
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);

    private final ManualTime time = new ManualTime();
    private final Vertx vertx = Vertx.vertx();
    private Duration runDuration = Duration.ZERO;
    private final List<Long> planningMillis = new ArrayList<>();
    private final Mesh mesh = new Mesh(settings(), vertx, new PausableStore(), time, time, time, new Random(1));
    private final PlanningService planning = createPlanning();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    // Guards against a run of the planner for each of the reports that all entries send while calls wait.
    @Test
    void reportsOfManyEntriesShareARunOfThePlanner() {
        planning.start();
        for (int i = 0; i < 100; i++) {
            mesh.send(SELF, reportOfWaitingCall());
        }
        assertEquals(1, planningMillis.size());

        time.advance(Duration.ofMillis(60));

        assertEquals(2, planningMillis.size());
    }

    // Guards against an entry on a slow processor that only plans, and loses messages and its place among the members.
    @Test
    void slowRunsOfThePlannerLeaveTheProcessorToOtherWork() {
        planning.start();
        runDuration = Duration.ofMillis(20);
        long startMillis = time.millis();
        int runsBefore = planningMillis.size();
        for (int i = 0; i < 300; i++) {
            mesh.send(SELF, reportOfWaitingCall());
            time.advance(Duration.ofMillis(2));
        }

        long planningTimeMillis = (planningMillis.size() - runsBefore) * runDuration.toMillis();
        assertTrue(
                planningTimeMillis <= (time.millis() - startMillis) / 4,
                planningTimeMillis + " ms were spent planning");
    }

    @Test
    void reportAfterAPauseIsPlannedAtOnce() {
        planning.start();
        time.advance(Duration.ofMillis(90));
        long beforeMillis = time.millis();

        mesh.send(SELF, reportOfWaitingCall());

        assertEquals(beforeMillis, planningMillis.get(planningMillis.size() - 1));
    }

    @Test
    void plansPeriodicallyWithoutReports() {
        planning.start();
        time.advance(Duration.ofSeconds(1));
        assertTrue(planningMillis.size() >= 9, planningMillis.size() + " runs");
    }

    private static PeerMessage reportOfWaitingCall() {
        PeerMessage.WeightDemand demand =
                new PeerMessage.WeightDemand("llm", new ModelName("m1"), Optional.empty(), 1, 0, 1, 500);
        return new PeerMessage.DemandReport(List.of(demand), List.of());
    }

    private PlanningService createPlanning() {
        ReplicaCatalog catalog = new ReplicaCatalog(time, new Ejections(time));
        OrderLeaseManager leases =
                new OrderLeaseManager(SELF, mesh, List.of(), Duration.ofSeconds(3), () -> true, time, time);
        LoadRequestRouter router = new LoadRequestRouter(
                SELF, leases, catalog, new UnusedReplicaClient(), mesh, this::config, time, new Delays(time));
        return new PlanningService(
                SELF,
                mesh,
                catalog,
                leases,
                router,
                new DemandAggregator(time),
                this::config,
                time,
                time,
                replica -> 1,
                new GatewayMetrics(new SimpleMeterRegistry()));
    }

    /** The planner asks for the configuration first in each run. */
    private Optional<ServingConfig> config() {
        planningMillis.add(time.millis());
        if (!runDuration.isZero()) {
            time.advance(runDuration);
        }
        return Optional.empty();
    }

    private static GatewaySettings settings() {
        return new GatewaySettings(
                SELF,
                "z1",
                ADDRESS,
                200,
                ADDRESS,
                "key",
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                true,
                Duration.ofSeconds(8),
                new RetryBudgetSettings(0.2, 50, Duration.ofSeconds(10)));
    }

    private static final class UnusedReplicaClient implements ReplicaClient {

        @Override
        public void onLeaving(Consumer<ListedReplica> listener) {}

        @Override
        public Uni<Report> report(ListedReplica replica) {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<OrderReply> order(ListedReplica replica, Order order, BooleanSupplier maySend) {
            return Uni.createFrom().nothing();
        }
    }
}
