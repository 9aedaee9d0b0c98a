package org.tarragonring.gateway.planning;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.gateway.orders.OrderLeaseManager;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.placement.AggregateDemand;
import org.tarragonring.policy.placement.PlacementPlanner;
import org.tarragonring.policy.placement.PlannedLoad;
import org.tarragonring.policy.placement.ReplicaSnapshot;
import org.tarragonring.policy.placement.ReplicaSnapshot.RunningCalls;
import org.tarragonring.policy.placement.ServiceDemand;
import org.tarragonring.policy.placement.StoreConcurrency;
import org.tarragonring.policy.placement.StoreLoadBudget;
import org.tarragonring.policy.placement.StoreLoadLimits;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Plans the loads for all entries while this entry is the one chosen for planning.
 *
 * <p>Planning needs no lease. If two entries plan at the same time, some loads are wasted, but only the holders of the
 * order leases send orders.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class PlanningService {

    /** The name of the planning duty, from which all entries derive which one of them plans. */
    public static final String DUTY = "plan";

    private static final Duration PLANNING_PERIOD = Duration.ofMillis(100);

    /** How often an entry that does not plan checks whether it has to. A demand report makes it check at once. */
    private static final Duration DUTY_CHECK_PERIOD = Duration.ofMillis(500);

    /**
     * The minimum time between two runs of the planner. All entries report waiting calls many times a second, and a
     * run for each report would take up the processor of the planning entry.
     */
    private static final Duration MIN_PLANNING_INTERVAL = Duration.ofMillis(30);

    /**
     * The minimum time between two runs, as a multiple of the duration of a run. On a slow processor the entry would do
     * nothing else otherwise, and would lose the messages on which it plans.
     */
    private static final int PLANNING_INTERVAL_FACTOR = 5;

    private final EntryId self;
    private final Mesh mesh;
    private final ReplicaCatalog catalog;
    private final OrderLeaseManager leaseManager;
    private final LoadRequestRouter loadRouter;
    private final DemandAggregator demandAggregator;
    private final Supplier<Optional<ServingConfig>> config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final ToDoubleFunction<UpstreamId> replicaSpeed;
    private final GatewayMetrics metrics;
    private final Map<ServiceName, StoreLoadBudget> storeLoadBudgets = new HashMap<>();
    private final Map<ServiceName, StoreConcurrency> storeConcurrencies = new HashMap<>();
    private final PendingLoads pendingLoads;
    private BiConsumer<EntryId, PeerMessage.DemandReport> reportListener = (from, report) -> {};
    private Timers.Task periodicPlanning = () -> {};
    private boolean planningScheduled;
    private long nextPlanningMillis;

    /**
     * Creates a service; {@link #start} starts it.
     *
     * @param self the id of this entry, not null
     * @param mesh chooses the planning entry and receives demand reports, not null
     * @param catalog the known replicas, not null
     * @param leaseManager knows the holder of each order lease, not null
     * @param loadRouter passes load requests to the lease holders, not null
     * @param demandAggregator aggregates the demand reports, not null
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param clock the monotonic clock, not null
     * @param timers runs periodic tasks, not null
     * @param replicaSpeed returns the speed of a replica relative to an ordinary one, 1 if it is not known; not null
     * @param metrics counts the planned loads, not null
     */
    public PlanningService(
            EntryId self,
            Mesh mesh,
            ReplicaCatalog catalog,
            OrderLeaseManager leaseManager,
            LoadRequestRouter loadRouter,
            DemandAggregator demandAggregator,
            Supplier<Optional<ServingConfig>> config,
            MonotonicClock clock,
            Timers timers,
            ToDoubleFunction<UpstreamId> replicaSpeed,
            GatewayMetrics metrics) {
        this.self = Objects.requireNonNull(self, "self");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.leaseManager = Objects.requireNonNull(leaseManager, "leaseManager");
        this.loadRouter = Objects.requireNonNull(loadRouter, "loadRouter");
        this.demandAggregator = Objects.requireNonNull(demandAggregator, "demandAggregator");
        this.config = Objects.requireNonNull(config, "config");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.replicaSpeed = Objects.requireNonNull(replicaSpeed, "replicaSpeed");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.pendingLoads = new PendingLoads(clock);
    }

    /**
     * Sets the receiver of all demand reports, beside the planner.
     *
     * @param listener receives the sender and the report, not null
     */
    public void onReport(BiConsumer<EntryId, PeerMessage.DemandReport> listener) {
        reportListener = Objects.requireNonNull(listener, "listener");
    }

    /** Starts collecting demand reports and planning, periodically and on each report of waiting calls. */
    public void start() {
        mesh.on(PeerMessage.DemandReport.class, (from, report) -> {
            reportListener.accept(from, report);
            demandAggregator.addReport(from, PlainCallDemand.withoutPlainCalls(report.demands()), report.unreachable());
            if (report.demands().stream().anyMatch(d -> d.waiting() > 0)) {
                planSoon();
            }
        });
        nextPlanningMillis = clock.millis();
        planPeriodically();
    }

    /** Stops periodic planning; reports of waiting calls still trigger it. */
    public void stop() {
        periodicPlanning.cancel();
    }

    private void planPeriodically() {
        planSoon();
        boolean isPlanner = mesh.entryFor(DUTY).equals(self);
        periodicPlanning = timers.schedule(isPlanner ? PLANNING_PERIOD : DUTY_CHECK_PERIOD, this::planPeriodically);
    }

    private void planSoon() {
        if (planningScheduled) {
            return;
        }
        long delayMillis = nextPlanningMillis - clock.millis();
        if (delayMillis <= 0) {
            planNow();
            return;
        }
        planningScheduled = true;
        timers.schedule(Duration.ofMillis(delayMillis), () -> {
            planningScheduled = false;
            planNow();
        });
    }

    private void planNow() {
        long startMillis = clock.millis();
        plan();
        long endMillis = clock.millis();
        nextPlanningMillis = endMillis
                + Math.max(MIN_PLANNING_INTERVAL.toMillis(), PLANNING_INTERVAL_FACTOR * (endMillis - startMillis));
    }

    private void plan() {
        if (config.get().isEmpty()) {
            return;
        }
        boolean isPlanner = mesh.entryFor(DUTY).equals(self);
        config.get()
                .get()
                .services()
                .values()
                .forEach(service -> service.engine().ifPresent(engine -> {
                    storeConcurrency(service.name()).observe(catalog.serving(service.name()), engine);
                    if (isPlanner) {
                        plan(service.name(), engine);
                    }
                }));
    }

    private void plan(ServiceName service, EngineSpec engine) {
        ServiceDemand demand = demandAggregator.demand(service);
        StoreLoadBudget storeLoads = storeLoadBudgets.computeIfAbsent(service, name -> new StoreLoadBudget(clock));
        StoreLoadLimits limits = new StoreLoadLimits(
                storeLoads.remaining(engine.maxStoreLoadsPerSecond()),
                storeConcurrency(service).limit(),
                catalog.isListSettled());
        List<ReplicaSnapshot> snapshots = snapshots(service);
        List<PlannedLoad> plannedLoads = new PlacementPlanner(engine).plan(snapshots, demand, limits);
        plannedLoads.stream()
                .filter(load -> load.tier() == CheckpointTier.REMOTE)
                .forEach(load -> storeLoads.recordLoad());
        plannedLoads.forEach(load -> {
            logReason(load, demand.of(load.model()), snapshots);
            startLoad(load, demand.of(load.model()).waitingCalls());
        });
    }

    private StoreConcurrency storeConcurrency(ServiceName service) {
        return storeConcurrencies.computeIfAbsent(service, name -> new StoreConcurrency(clock));
    }

    private List<ReplicaSnapshot> snapshots(ServiceName service) {
        Map<UpstreamId, Map<ModelName, RunningCalls>> running = demandAggregator.runningCalls();
        return catalog.serving(service).stream()
                .filter(replica -> !demandAggregator.isUnreachable(replica.id()))
                .map(replica -> toSnapshot(replica, running.getOrDefault(replica.id(), Map.of())))
                .toList();
    }

    private ReplicaSnapshot toSnapshot(ReplicaState replica, Map<ModelName, RunningCalls> running) {
        Optional<PendingLoads.LoadInProgress> inProgress = pendingLoads.inProgress(replica);
        boolean controllable = leaseManager.holderOf(replica.id()).isPresent() && pendingLoads.mayPlanFor(replica.id());
        return new ReplicaSnapshot(
                replica,
                running,
                inProgress.map(PendingLoads.LoadInProgress::model),
                inProgress.map(PendingLoads.LoadInProgress::remainingMillis).orElse(0L),
                inProgress.map(PendingLoads.LoadInProgress::overdue).orElse(false),
                controllable,
                replicaSpeed.applyAsDouble(replica.id()));
    }

    /** Logs why a load is planned although the model is being loaded, or is on a replica, already. */
    private static void logReason(PlannedLoad load, AggregateDemand called, List<ReplicaSnapshot> snapshots) {
        if (load.reason() == PlannedLoad.Reason.SOONER_CHECKPOINT) {
            long remainingMillis = snapshots.stream()
                    .filter(snapshot -> snapshot.pendingLoad().equals(Optional.of(load.model())))
                    .mapToLong(ReplicaSnapshot::availableInMillis)
                    .min()
                    .orElse(0);
            LogEvent.LOAD_EXPECTATION_REPLACED.log(
                    load.model(),
                    load.replicaId(),
                    load.expectedDurationMillis(),
                    remainingMillis,
                    called.waitingCalls());
        } else if (load.reason() == PlannedLoad.Reason.SPREAD_COPY) {
            LogEvent.CHECKPOINT_SPREAD.log(load.model(), load.replicaId(), "%.1f".formatted(called.callsPerSecond()));
        }
    }

    private void startLoad(PlannedLoad load, int waitingCalls) {
        LogEvent.LOAD_PLANNED.log(
                load.model(), load.replicaId(), load.evictions(), load.tier(), load.reason(), waitingCalls);
        metrics.countPlannedLoad(load.reason().name());
        catalog.find(load.replicaId())
                .ifPresent(replica -> pendingLoads.add(replica, load.model(), load.expectedDurationMillis()));
        loadRouter.route(new PeerMessage.LoadRequest(load.replicaId(), load.model(), "", load.evictions()));
    }
}
