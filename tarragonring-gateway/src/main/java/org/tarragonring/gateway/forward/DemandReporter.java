package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.gateway.planning.PlanningService;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Tells the planning entry what this one needs, and asks for adapters of models that are resident.
 *
 * <p>Not safe for use by several threads.
 */
final class DemandReporter {

    /** How often demand is reported while calls wait. */
    private static final Duration WAITING_PERIOD = Duration.ofMillis(100);

    /** How many of those periods pass between reports while no call waits. */
    private static final int IDLE_PERIODS = 5;

    /** How long calls that begin to wait together are gathered into one report. */
    private static final Duration GATHER_TIME = Duration.ofMillis(2);

    private final Forwarder forwarder;
    private final ReplicaCatalog catalog;
    private final LoadRequestRouter loadRouter;
    private final Mesh mesh;
    private final MonotonicClock clock;
    private final Timers timers;
    private boolean scheduled;
    private boolean reportedNothing = true;
    private int idlePeriods;
    private Timers.Task ticking = () -> {};

    DemandReporter(
            Forwarder forwarder,
            ReplicaCatalog catalog,
            LoadRequestRouter loadRouter,
            Mesh mesh,
            MonotonicClock clock,
            Timers timers) {
        this.forwarder = Objects.requireNonNull(forwarder, "forwarder");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.loadRouter = Objects.requireNonNull(loadRouter, "loadRouter");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    void start() {
        forwarder.onWaiting(this::reportSoon);
        ticking = timers.scheduleWithFixedDelay(WAITING_PERIOD, this::tick);
    }

    void stop() {
        ticking.cancel();
    }

    private void reportSoon() {
        if (!scheduled) {
            scheduled = true;
            timers.schedule(GATHER_TIME, () -> {
                scheduled = false;
                report();
            });
        }
    }

    private void tick() {
        idlePeriods++;
        if (forwarder.waiting().size() > 0 || idlePeriods >= IDLE_PERIODS) {
            report();
        }
    }

    private void report() {
        idlePeriods = 0;
        Map<ModelKey, Totals> totals = new HashMap<>();
        forwarder.takeArrivals().forEach((key, count) -> totals(totals, key).arrivals += count);
        for (WeightKey key : forwarder.waiting().keys()) {
            addWaiting(totals, key);
        }
        List<PeerMessage.WeightDemand> demands = new ArrayList<>();
        totals.forEach((key, t) -> demands.add(new PeerMessage.WeightDemand(
                key.service.value(), key.model, Optional.empty(), t.waiting, 0, t.arrivals, t.slackMillis)));
        for (ReplicaState replica : catalog.all()) {
            replica.inFlightByModel()
                    .forEach((model, count) -> demands.add(new PeerMessage.WeightDemand(
                            replica.listed().service().value(),
                            model,
                            Optional.of(replica.id()),
                            0,
                            count,
                            0,
                            forwarder.runTimes().residualMillis(replica.id(), model))));
        }
        List<UpstreamId> unreachable = catalog.ejected();
        boolean isNothing = demands.isEmpty() && unreachable.isEmpty();
        if (isNothing && reportedNothing) {
            return;
        }
        reportedNothing = isNothing;
        mesh.send(mesh.entryFor(PlanningService.DUTY), new PeerMessage.DemandReport(demands, unreachable));
    }

    private void addWaiting(Map<ModelKey, Totals> totals, WeightKey key) {
        WeightKey base = new WeightKey(key.service(), key.model(), "");
        List<ReplicaState> holders = catalog.ableToRun(base);
        if (!holders.isEmpty() && !key.adapter().isEmpty()) {
            List<ReplicaState> idle = holders.stream()
                    .filter(replica -> replica.loading().isEmpty())
                    .toList();
            ReplicaState home = Rendezvous.rank(
                            key.model() + "/" + key.adapter(), idle.isEmpty() ? holders : idle, r -> r.id().value())
                    .get(0);
            loadRouter.route(new PeerMessage.LoadRequest(home.id(), key.model(), key.adapter(), List.of()));
            return;
        }
        Totals sum = totals(totals, key);
        for (Exchange exchange : forwarder.waiting().waitingFor(key)) {
            long slackMillis =
                    exchange.arrivedMillis + exchange.route.latencyObjective().toMillis() - clock.millis();
            sum.waiting++;
            sum.slackMillis = Math.min(sum.slackMillis, slackMillis);
        }
    }

    private static Totals totals(Map<ModelKey, Totals> totals, WeightKey key) {
        return totals.computeIfAbsent(new ModelKey(key.service(), key.model()), k -> new Totals());
    }

    private record ModelKey(ServiceName service, ModelName model) {}

    private static final class Totals {

        private int waiting;
        private int arrivals;
        private long slackMillis = Long.MAX_VALUE;
    }
}
