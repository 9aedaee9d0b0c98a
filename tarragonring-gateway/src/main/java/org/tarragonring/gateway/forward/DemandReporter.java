package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
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
import org.tarragonring.gateway.routing.UnevenRouting;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Reports the demand for models at this entry to the entry that plans loads. If the base model of an adapter is already
 * resident, the adapter is requested directly, without the planner.
 *
 * <p>Not thread-safe.
 */
final class DemandReporter {

    /** A demand takes up about 50 bytes of a message, which has at most 8,192. */
    private static final int MAX_DEMANDS_PER_REPORT = 120;

    /** The interval between reports while calls wait. */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);

    /** The interval between reports while no call waits. */
    private static final Duration IDLE_REPORT_PERIOD = Duration.ofMillis(500);

    /** The delay before a report, so that calls that start to wait together share one report. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(2);

    private final Forwarder forwarder;
    private final ReplicaCatalog catalog;
    private final UnevenRouting routing;
    private final LoadRequestRouter loadRouter;
    private final Mesh mesh;
    private final MonotonicClock clock;
    private final Timers timers;
    private boolean reportScheduled;
    private boolean lastReportEmpty = true;
    private boolean stopped;
    private Timers.Task nextReport = () -> {};

    DemandReporter(
            Forwarder forwarder,
            ReplicaCatalog catalog,
            UnevenRouting routing,
            LoadRequestRouter loadRouter,
            Mesh mesh,
            MonotonicClock clock,
            Timers timers) {
        this.forwarder = Objects.requireNonNull(forwarder, "forwarder");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.loadRouter = Objects.requireNonNull(loadRouter, "loadRouter");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    void start() {
        forwarder.onWaiting(this::reportSoon);
        routing.onUrgent(this::reportSoon);
        reportPeriodically();
    }

    void stop() {
        stopped = true;
        nextReport.cancel();
    }

    private void reportSoon() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.schedule(REPORT_DELAY, () -> {
                reportScheduled = false;
                reportPeriodically();
            });
        }
    }

    private void onPeriod() {
        // A replica may be available again without any change of its registration.
        forwarder.dispatchWaiting();
        reportPeriodically();
    }

    private void reportPeriodically() {
        nextReport.cancel();
        if (stopped) {
            return;
        }
        boolean isIdle = forwarder.waiting().size() == 0;
        nextReport = timers.schedule(isIdle ? IDLE_REPORT_PERIOD : REPORT_PERIOD, this::onPeriod);
        report();
    }

    private void report() {
        Map<ModelKey, ModelDemand> demandByModel = new HashMap<>();
        forwarder.drainArrivals().forEach((key, count) -> demandOf(demandByModel, key).arrivals += count);
        for (WeightKey key : forwarder.waiting().keys()) {
            addWaiting(demandByModel, key);
        }
        List<PeerMessage.WeightDemand> demands = new ArrayList<>();
        demandByModel.forEach((key, demand) -> demands.add(new PeerMessage.WeightDemand(
                key.service.value(),
                key.model,
                Optional.empty(),
                demand.waiting,
                0,
                demand.arrivals,
                demand.slackMillis)));
        for (ReplicaState replica : catalog.all()) {
            replica.inFlightByModel()
                    .forEach((model, count) -> demands.add(new PeerMessage.WeightDemand(
                            replica.listed().service().value(),
                            model,
                            Optional.of(replica.id()),
                            0,
                            count,
                            0,
                            forwarder.durationEstimator().estimateRemainingMillis(replica.id(), model))));
        }
        demands.addAll(routing.plainDemands());
        List<PeerMessage.ReplicaTiming> timings = routing.drainTimings();
        List<UpstreamId> unreachable = catalog.ejected();
        boolean isEmpty = demands.isEmpty() && unreachable.isEmpty() && timings.isEmpty();
        if (isEmpty && lastReportEmpty) {
            return;
        }
        lastReportEmpty = isEmpty;
        List<PeerMessage.WeightDemand> mostUrgent = mostUrgent(demands);
        if (mostUrgent.size() < demands.size()) {
            LogEvent.DEMAND_TRUNCATED.log(mostUrgent.size(), demands.size());
        }
        mesh.send(mesh.entryFor(PlanningService.DUTY), new PeerMessage.DemandReport(mostUrgent, unreachable, timings));
    }

    /** Returns as many demands as fit into one message: those with the most calls that wait, arrive and run. */
    static List<PeerMessage.WeightDemand> mostUrgent(List<PeerMessage.WeightDemand> demands) {
        return demands.stream()
                .sorted(Comparator.comparingInt(PeerMessage.WeightDemand::waiting)
                        .thenComparingInt(PeerMessage.WeightDemand::arrivals)
                        .thenComparingInt(PeerMessage.WeightDemand::running)
                        .reversed())
                .limit(MAX_DEMANDS_PER_REPORT)
                .toList();
    }

    private void addWaiting(Map<ModelKey, ModelDemand> demandByModel, WeightKey key) {
        WeightKey baseModel = new WeightKey(key.service(), key.model(), "");
        List<ReplicaState> replicasWithModel = catalog.ableToRun(baseModel);
        if (!replicasWithModel.isEmpty() && !key.adapter().isEmpty()) {
            List<ReplicaState> notLoading = replicasWithModel.stream()
                    .filter(replica -> replica.loading().isEmpty())
                    .toList();
            ReplicaState target = Rendezvous.rank(
                            key.model() + "/" + key.adapter(),
                            notLoading.isEmpty() ? replicasWithModel : notLoading,
                            r -> r.id().value())
                    .get(0);
            loadRouter.route(new PeerMessage.LoadRequest(target.id(), key.model(), key.adapter(), List.of()));
        }
        // Calls that wait for an adapter count, too: replicas whose places are taken need help from another replica.
        ModelDemand demand = demandOf(demandByModel, key);
        for (Exchange exchange : forwarder.waiting().waitingFor(key)) {
            long slackMillis =
                    exchange.arrivalMillis + exchange.route.latencyObjective().toMillis() - clock.millis();
            demand.waiting++;
            demand.slackMillis = Math.min(demand.slackMillis, slackMillis);
        }
    }

    private static ModelDemand demandOf(Map<ModelKey, ModelDemand> demandByModel, WeightKey key) {
        return demandByModel.computeIfAbsent(new ModelKey(key.service(), key.model()), k -> new ModelDemand());
    }

    private record ModelKey(ServiceName service, ModelName model) {}

    private static final class ModelDemand {

        private int waiting;
        private int arrivals;
        private long slackMillis = Long.MAX_VALUE;
    }
}
