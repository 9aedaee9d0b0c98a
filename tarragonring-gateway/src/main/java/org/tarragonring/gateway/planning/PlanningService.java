package org.tarragonring.gateway.planning;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.orders.OrderAuthority;
import org.tarragonring.gateway.orders.OrderDesk;
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
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Plans loads for all entries while this one is the member that plans.
 *
 * <p>Planning needs no lease: two entries that both believe to plan cost loads, but orders are given by the holders of
 * the order leases only.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class PlanningService {

    /** The duty by which the planning entry is chosen. */
    public static final String DUTY = "plan";

    private static final Duration PERIOD = Duration.ofMillis(100);

    private final EntryId self;
    private final Mesh mesh;
    private final ReplicaCatalog catalog;
    private final OrderAuthority authority;
    private final OrderDesk desk;
    private final DemandBook book;
    private final Supplier<Optional<ServingConfig>> config;
    private final Timers timers;
    private final DecidedLoads decided;
    private Timers.Task planning = () -> {};

    /**
     * Creates a service that does not run yet.
     *
     * @param self this entry, not null
     * @param mesh the other entries, not null
     * @param catalog the replicas, not null
     * @param authority tells which replicas somebody may order, not null
     * @param desk takes the loads, not null
     * @param book the demand, not null
     * @param config the configuration in force, not null
     * @param clock the monotonic clock, not null
     * @param timers runs periodic work, not null
     */
    public PlanningService(
            EntryId self,
            Mesh mesh,
            ReplicaCatalog catalog,
            OrderAuthority authority,
            OrderDesk desk,
            DemandBook book,
            Supplier<Optional<ServingConfig>> config,
            MonotonicClock clock,
            Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.authority = Objects.requireNonNull(authority, "authority");
        this.desk = Objects.requireNonNull(desk, "desk");
        this.book = Objects.requireNonNull(book, "book");
        this.config = Objects.requireNonNull(config, "config");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.decided = new DecidedLoads(clock);
    }

    /** Starts to collect demand and to plan. */
    public void start() {
        mesh.on(PeerMessage.DemandReport.class, (from, report) -> {
            book.report(from, report.demands(), report.unreachable());
            if (report.demands().stream().anyMatch(demand -> demand.waiting() > 0)) {
                plan();
            }
        });
        planning = timers.repeat(PERIOD, this::plan);
    }

    /** Stops planning. */
    public void stop() {
        planning.cancel();
    }

    private void plan() {
        if (config.get().isEmpty() || !mesh.entryFor(DUTY).equals(self)) {
            return;
        }
        config.get()
                .get()
                .services()
                .values()
                .forEach(service -> service.engine().ifPresent(engine -> plan(service.name(), engine)));
    }

    private void plan(ServiceName service, EngineSpec engine) {
        Map<UpstreamId, Map<ModelName, RunningCalls>> running = book.running();
        List<ReplicaSnapshot> views = catalog.usable(service).stream()
                .filter(replica -> !book.isUnreachable(replica.id()))
                .map(replica -> view(replica, running.getOrDefault(replica.id(), Map.of())))
                .toList();
        Map<ModelName, AggregateDemand> needs = book.needs(service);
        List<PlannedLoad> moves = new PlacementPlanner(engine).plan(views, needs);
        moves.forEach(move -> start(move, needs));
    }

    private ReplicaSnapshot view(ReplicaState replica, Map<ModelName, RunningCalls> running) {
        Optional<DecidedLoads.UnderWay> underWay = decided.underWay(replica);
        boolean orderable = authority.holderOf(replica.id()).isPresent() && decided.isCarriedOut(replica.id());
        return new ReplicaSnapshot(
                replica,
                running,
                underWay.map(DecidedLoads.UnderWay::model),
                underWay.map(DecidedLoads.UnderWay::remainingMillis).orElse(0L),
                orderable);
    }

    private void start(PlannedLoad move, Map<ModelName, AggregateDemand> needs) {
        int waiting = Optional.ofNullable(needs.get(move.model()))
                .map(AggregateDemand::waitingCalls)
                .orElse(0);
        LogEvent.LOAD_PLANNED.log(
                move.model(), move.replicaId(), move.evictions(), move.tier(), move.reason(), waiting);
        catalog.find(move.replicaId())
                .ifPresent(replica -> decided.decide(replica, move.model(), move.expectedDurationMillis()));
        desk.request(new PeerMessage.LoadRequest(move.replicaId(), move.model(), "", move.evictions()));
    }
}
