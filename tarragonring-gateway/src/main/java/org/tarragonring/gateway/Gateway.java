package org.tarragonring.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.tarragonring.entry.Clocks;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.follow.StoreWatcher;
import org.tarragonring.gateway.forward.CallServer;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.metrics.MeteredReplicaClient;
import org.tarragonring.gateway.metrics.MeteredStore;
import org.tarragonring.gateway.orders.GroupLease;
import org.tarragonring.gateway.orders.OrderAuthority;
import org.tarragonring.gateway.orders.OrderDesk;
import org.tarragonring.gateway.orders.OrderGroups;
import org.tarragonring.gateway.planning.DemandBook;
import org.tarragonring.gateway.planning.PlanningService;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.peer.Member;
import org.tarragonring.policy.budget.RepeatBudgets;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;

/**
 * One entry that forwards calls to replicas and, together with the other entries, decides what they hold.
 *
 * <p>All of it runs on one event loop: entries have one processor core or less, and what one thread alone touches needs
 * no locks.
 *
 * @since 0.2.0
 */
public final class Gateway {

    /** How long a watch of the configuration waits: the longest that stores allow. */
    private static final Duration CONFIG_WATCH = Duration.ofSeconds(20);

    /** How long a watch of the replicas waits; a connection that went silent is noticed a little later. */
    private static final Duration REPLICA_WATCH = Duration.ofMillis(2_500);

    /** How long changes of replicas are gathered: below the time within which a leaving replica must get no more work. */
    private static final Duration REPLICA_BATCH = Duration.ofMillis(700);

    private static final Duration DRAIN_CHECK = Duration.ofMillis(50);

    /** How long a leaving entry goes on listening, as callers keep using the addresses they know. */
    private static final Duration MIN_DRAIN = Duration.ofMillis(2_500);

    private final GatewaySettings settings;
    private final Clocks clocks;
    private final Timers timers;
    private final RevisionedStore store;
    private final Mesh mesh;
    private final ReplicaCatalog catalog;
    private final StoreWatcher configWatcher;
    private final StoreWatcher replicaWatcher;
    private final OrderAuthority authority;
    private final OrderDesk desk;
    private final PlanningService planning;
    private final CallServer server;
    private final Function<StoredObject, Optional<ServingConfig>> configDecoder;
    private Optional<ServingConfig> config = Optional.empty();
    private boolean leaving;
    private boolean joined;

    /**
     * Creates a gateway that does not run yet.
     *
     * @param settings the settings, not null
     * @param ports the seams to what lies outside, not null
     * @param vertx runs the gateway, not null
     * @param clocks the clocks, not null
     * @param random gives random numbers, not null
     * @param registry keeps the metrics, not null
     */
    public Gateway(
            GatewaySettings settings, Ports ports, Vertx vertx, Clocks clocks, Random random, MeterRegistry registry) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clocks = Objects.requireNonNull(clocks, "clocks");
        this.timers = new VertxTimers(vertx);
        GatewayMetrics metrics = new GatewayMetrics(registry);
        this.store = new MeteredStore(ports.store, metrics, clocks.monotonic());
        Ejections ejections = new Ejections(clocks.monotonic());
        this.mesh = new Mesh(settings, vertx, store, clocks.monotonic(), clocks.wall(), timers, random);
        this.catalog = new ReplicaCatalog(clocks.monotonic(), ejections);
        this.authority = new OrderAuthority(
                settings.id(),
                mesh,
                leases(settings),
                settings.orderTurn(),
                this::reachesStore,
                clocks.monotonic(),
                timers);
        this.desk = new OrderDesk(
                settings.id(),
                authority,
                catalog,
                new MeteredReplicaClient(ports.replicas, metrics, clocks.monotonic()),
                mesh,
                this::config,
                clocks.monotonic(),
                new Delays(timers));
        this.planning = new PlanningService(
                settings.id(),
                mesh,
                catalog,
                authority,
                desk,
                new DemandBook(clocks.monotonic()),
                this::config,
                clocks.monotonic(),
                timers);
        this.server = new CallServer(
                callContext(vertx, ports.calls, ejections, random, metrics),
                this::config,
                this::mayServe,
                () -> leaving,
                new RepeatBudgets(settings.repeats(), () -> mesh.alive().size(), clocks.monotonic()),
                desk);
        this.configWatcher = watcher(ports.configPrefix, CONFIG_WATCH, Duration.ZERO, this::onConfig, key -> {});
        this.replicaWatcher = watcher(
                ports.replicaPrefix,
                REPLICA_WATCH,
                REPLICA_BATCH,
                object -> ports.replicaDecoder.apply(object).ifPresent(catalog::put),
                key -> catalog.remove(new UpstreamId(key.substring(ports.replicaPrefix.length()))));
        this.configDecoder = ports.configDecoder;
        registerGauges(metrics);
    }

    /**
     * Starts to listen and to follow the store.
     *
     * @return completes when callers can connect; the entry may not be ready to serve them yet
     */
    public CompletableFuture<Void> start() {
        long startMillis = clocks.monotonic().millis();
        configWatcher.start();
        replicaWatcher.start();
        return mesh.start().thenCompose(peer -> server.start()).thenRun(() -> {
            authority.start();
            desk.start();
            planning.start();
            LogEvent.GATEWAY_STARTED.log(
                    settings.id(),
                    settings.callerAddress(),
                    settings.peerAddress(),
                    clocks.monotonic().millis() - startMillis);
            joinWhenReady();
        });
    }

    /**
     * Leaves: turns callers away, lets calls in flight end, gives order leases up.
     *
     * @return completes when the entry has stopped, at the latest at the shutdown limit
     */
    public CompletableFuture<Void> shutDown() {
        leaving = true;
        LogEvent.GATEWAY_LEAVING.log(settings.id(), server.inFlight());
        server.beginShutdown();
        mesh.leave();
        planning.stop();
        authority.leave();
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        long startMillis = clocks.monotonic().millis();
        drain(startMillis, stopped);
        return stopped;
    }

    /**
     * Checks if callers should be sent here.
     *
     * @return true if the entry can serve and is not leaving
     */
    public boolean isReady() {
        return joined && !leaving && mayServe();
    }

    /**
     * Returns the entries that callers may be sent to.
     *
     * @return the members that seem alive, this one only if it is ready
     */
    public List<Member> entries() {
        List<Member> entries = new ArrayList<>(mesh.alive());
        entries.removeIf(member -> member.id().equals(settings.id()) && !isReady());
        return entries;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the newest one seen, or empty if none was seen yet
     */
    public Optional<ServingConfig> config() {
        return config;
    }

    /**
     * Describes the gateway.
     *
     * @return its state at this moment, as values that JSON can hold
     */
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("entry", settings.id().value());
        state.put("ready", isReady());
        state.put("leaving", leaving);
        state.put("configVersion", config.map(ServingConfig::version).orElse(0L));
        state.put("callsInFlight", server.inFlight());
        state.put("entriesAlive", mesh.alive());
        state.put("planningEntry", mesh.entryFor(PlanningService.DUTY));
        state.put("orderGroups", authority.state());
        state.put("replicas", catalog.state());
        return state;
    }

    private CallServer.Context callContext(
            Vertx vertx, CallCodec calls, Ejections ejections, Random random, GatewayMetrics metrics) {
        return new CallServer.Context(
                vertx,
                settings.callerAddress(),
                settings.failureDomain(),
                calls,
                catalog,
                ejections,
                mesh,
                clocks.monotonic(),
                timers,
                random::nextDouble,
                metrics);
    }

    private void registerGauges(GatewayMetrics metrics) {
        metrics.gauge(
                "tarragonring.config.version",
                () -> config.map(ServingConfig::version).orElse(0L));
        metrics.gauge("tarragonring.entries.alive", () -> mesh.alive().size());
        metrics.gauge("tarragonring.order.groups.held", authority::heldGroups);
        metrics.gauge("tarragonring.replicas.listed", () -> catalog.all().size());
    }

    private void joinWhenReady() {
        if (leaving) {
            return;
        }
        if (mayServe()) {
            joined = true;
            mesh.join();
            LogEvent.GATEWAY_READINESS.log(settings.id(), true, "configuration and replicas are known");
        } else {
            timers.schedule(DRAIN_CHECK, this::joinWhenReady);
        }
    }

    private boolean reachesStore() {
        return replicaWatcher.isReachable();
    }

    private boolean mayServe() {
        return config.isPresent() && replicaWatcher.isListed();
    }

    private void drain(long startMillis, CompletableFuture<Void> stopped) {
        long waitedMillis = clocks.monotonic().millis() - startMillis;
        boolean isDrained = server.inFlight() == 0 && waitedMillis >= MIN_DRAIN.toMillis();
        if (!isDrained && waitedMillis < settings.shutdownLimit().toMillis()) {
            timers.schedule(DRAIN_CHECK, () -> drain(startMillis, stopped));
            return;
        }
        LogEvent.GATEWAY_STOPPED.log(settings.id(), server.inFlight());
        server.stop().thenCompose(done -> mesh.stop()).whenComplete((done, failure) -> stopped.complete(null));
    }

    private void onConfig(StoredObject object) {
        configDecoder.apply(object).ifPresent(read -> {
            if (config.isPresent() && config.get().version() >= read.version()) {
                return;
            }
            config = Optional.of(read);
            LogEvent.SERVING_CONFIG.log(
                    read.version(), read.hosts(), read.services().size());
            catalog.changed();
        });
    }

    private List<GroupLease> leases(GatewaySettings settings) {
        List<GroupLease> leases = new ArrayList<>();
        for (int group = 0; group < OrderGroups.COUNT; group++) {
            leases.add(new GroupLease(
                    group,
                    settings.id(),
                    settings.fencesChecked(),
                    store,
                    clocks.monotonic(),
                    clocks.wall(),
                    new Delays(timers)));
        }
        return leases;
    }

    private StoreWatcher watcher(
            String prefix,
            Duration wait,
            Duration pause,
            Consumer<StoredObject> onChanged,
            Consumer<String> onDeleted) {
        return new StoreWatcher(prefix, wait, pause, store, clocks.monotonic(), timers, onChanged, onDeleted);
    }

    /**
     * The seams to what lies outside.
     *
     * @param store keeps what must last, not null
     * @param calls knows the headers of calls, not null
     * @param replicas orders replicas, not null
     * @param configPrefix the start of the keys of the configuration, not null
     * @param configDecoder reads a configuration, empty for objects that are none; not null
     * @param replicaPrefix the start of the keys of the listed replicas, not null
     * @param replicaDecoder reads an entry of the list, empty if it cannot be used; not null
     */
    public record Ports(
            RevisionedStore store,
            CallCodec calls,
            ReplicaClient replicas,
            String configPrefix,
            Function<StoredObject, Optional<ServingConfig>> configDecoder,
            String replicaPrefix,
            Function<StoredObject, Optional<ListedReplica>> replicaDecoder) {}
}
