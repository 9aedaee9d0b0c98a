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

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.tarragonring.entry.Clocks;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.LeavingReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.follow.FollowedConfig;
import org.tarragonring.gateway.follow.StoreWatcher;
import org.tarragonring.gateway.forward.CallServer;
import org.tarragonring.gateway.forward.CallServerContext;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.metrics.MeteredReplicaClient;
import org.tarragonring.gateway.metrics.MeteredStore;
import org.tarragonring.gateway.orders.GroupLease;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.gateway.orders.OrderGroups;
import org.tarragonring.gateway.orders.OrderLeaseManager;
import org.tarragonring.gateway.planning.DemandAggregator;
import org.tarragonring.gateway.planning.PlanningService;
import org.tarragonring.gateway.quarantine.RequestQuarantine;
import org.tarragonring.gateway.quota.QuotaService;
import org.tarragonring.gateway.streams.ServingVersions;
import org.tarragonring.gateway.streams.StreamVersions;
import org.tarragonring.gateway.team.KeyedCalls;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.budget.RetryBudgets;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.routing.Ejections;
import org.tarragonring.service.ShutdownSequence;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;

/**
 * One entry process: forwards calls to replicas and plans, together with the other entries, which models the replicas
 * hold.
 *
 * <p>Everything runs on one event loop. Entries have one processor core or less, and state that only one thread
 * accesses needs no locks.
 *
 * @since 0.2.0
 */
public final class Gateway {

    /** How much later than its removal a replica may still be listed at another entry, and begin streams there. */
    private static final Duration LIST_LAG = Duration.ofSeconds(3);

    private static final Duration STATE_CHECK_INTERVAL = Duration.ofMillis(50);

    /**
     * The minimum time an entry keeps listening during shutdown, as callers keep using the addresses they know. Later
     * calls are refused: the rest of the shutdown is for the calls in flight.
     */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(2_500);

    private final GatewaySettings settings;
    private final Clocks clocks;
    private final Timers timers;
    private final RevisionedStore store;
    private final Mesh mesh;
    private final ReplicaCatalog catalog;
    private final LeavingReplicas leavingReplicas;
    private final StoreWatcher configWatcher;
    private final StoreWatcher replicaWatcher;
    private final OrderLeaseManager leaseManager;
    private final LoadRequestRouter loadRouter;
    private final PlanningService planning;
    private final RequestQuarantine quarantine;
    private final ReplicaClient replicaClient;
    private final StreamVersions streamVersions;
    private final ServingVersions servingVersions;
    private final KeyedCalls keyedCalls;
    private final QuotaService quotas;
    private final CallServer server;
    private final FollowedConfig config;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private CompletableFuture<Void> started = CompletableFuture.completedFuture(null);
    private boolean shuttingDown;
    private boolean joined;

    /**
     * Creates a gateway that is not started.
     *
     * @param settings the settings of this entry, not null
     * @param dependencies the external systems and their wire formats, not null
     * @param vertx the Vert.x instance that runs the gateway, not null
     * @param clocks the monotonic and the wall clock, not null
     * @param random the source of random numbers, not null
     * @param registry the registry of the metrics, not null
     */
    public Gateway(
            GatewaySettings settings,
            GatewayDependencies dependencies,
            Vertx vertx,
            Clocks clocks,
            Random random,
            MeterRegistry registry) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clocks = Objects.requireNonNull(clocks, "clocks");
        this.timers = new VertxTimers(vertx);
        GatewayMetrics metrics = new GatewayMetrics(registry);
        this.config =
                new FollowedConfig(dependencies.configKey(), dependencies.configDecoder(), this::onConfigActivated);
        this.store = new MeteredStore(dependencies.store(), metrics, clocks.monotonic());
        Ejections ejections = new Ejections(clocks.monotonic());
        this.mesh = new Mesh(settings, vertx, store, clocks.monotonic(), clocks.wall(), timers, random);
        this.catalog = new ReplicaCatalog(clocks.monotonic(), ejections);
        this.leavingReplicas = new LeavingReplicas(catalog, mesh::broadcast);
        this.replicaClient = new MeteredReplicaClient(dependencies.replicaClient(), metrics, clocks.monotonic());
        this.leaseManager = createLeaseManager();
        this.loadRouter = createLoadRouter();
        this.planning = new PlanningService(
                settings.id(),
                mesh,
                catalog,
                leaseManager,
                loadRouter,
                new DemandAggregator(clocks.monotonic()),
                this::config,
                clocks.monotonic(),
                timers,
                this::speedOf,
                metrics);
        Duration watchTimeout = WatchTiming.watchTimeout(settings.contactTime(), dependencies.storeTimeout());
        this.quarantine =
                new RequestQuarantine(settings.id(), mesh, store, clocks.monotonic(), clocks.wall(), timers, random);
        this.streamVersions =
                new StreamVersions(settings.id(), settings.failureDomain(), mesh, clocks.monotonic(), timers);
        this.servingVersions = createServingVersions(dependencies);
        this.keyedCalls = new KeyedCalls(settings.id(), settings.keys(), this::config, clocks, timers, metrics);
        this.quotas = QuotaService.create(settings, this::config, mesh, metrics, clocks, timers);
        this.server = new CallServer(
                callContext(vertx, dependencies, ejections, random, metrics),
                this::config,
                this::canServe,
                () -> shuttingDown,
                new RetryBudgets(settings.retryBudget(), () -> mesh.alive().size(), clocks.monotonic()),
                quarantine,
                loadRouter);
        this.configWatcher = createWatcher(
                dependencies.configPrefix(),
                keyedCalls.watchTime(watchTimeout, dependencies.storeTimeout()),
                Duration.ZERO,
                config::onChanged,
                key -> {});
        this.replicaWatcher = createWatcher(
                dependencies.replicaPrefix(),
                watchTimeout,
                WatchTiming.replicaBatchDelay(settings.drainTime()),
                object -> dependencies.replicaDecoder().apply(object).ifPresent(catalog::put),
                this::onReplicaRemoved);
        connect(dependencies.configPrefix());
        registerGauges(metrics);
    }

    private void connect(String configPrefix) {
        catalog.setListCurrent(replicaWatcher::isCurrent);
        store.addEraListener(era -> catalog.onStoreRestored());
        keyedCalls.follow(
                configWatcher,
                () -> store.list(configPrefix).invoke(objects -> objects.forEach(config::onChanged)),
                config::isStoredVersionReadable);
        List.of(configWatcher, replicaWatcher).forEach(watcher -> watcher.onUnreachable(quarantine::renewWatch));
        planning.onReport(server.unevenRouting()::onReport);
        mesh.on(PeerMessage.ReplicaLeaving.class, (from, notice) -> leavingReplicas.onNotice(notice));
        replicaClient.onLeaving(replica ->
                leavingReplicas.onResponse(replica.id(), replica.process().startMillis()));
    }

    private double speedOf(UpstreamId replica) {
        return server.unevenRouting().speedOf(replica);
    }

    /**
     * Starts listening and watching the store. Starts nothing more once the shutdown has begun.
     *
     * @return a future that completes when callers can connect, or the start has ended due to a shutdown; the entry may
     *     not be ready to serve callers yet
     */
    public CompletableFuture<Void> start() {
        if (shuttingDown) {
            return CompletableFuture.completedFuture(null);
        }
        long startMillis = clocks.monotonic().millis();
        configWatcher.start();
        replicaWatcher.start();
        quarantine.start();
        streamVersions.start();
        CompletableFuture<Void> versionsRead = servingVersions.start();
        started = mesh.start()
                .thenCompose(peer -> shuttingDown ? CompletableFuture.completedFuture(null) : server.start())
                .thenRun(() -> onListening(startMillis, versionsRead));
        return started;
    }

    private void onListening(long startMillis, CompletableFuture<Void> versionsRead) {
        if (shuttingDown) {
            return;
        }
        versionsRead.thenRun(this::startLeases);
        loadRouter.start();
        planning.start();
        LogEvent.GATEWAY_STARTED.log(
                settings.id(),
                settings.callerAddress(),
                settings.peerAddress(),
                clocks.monotonic().millis() - startMillis);
        keyedCalls.start();
        quotas.start();
        joinWhenReady();
    }

    /** Starts to acquire order leases; their records show that entries have served. */
    private void startLeases() {
        if (!shuttingDown) {
            leaseManager.start();
        }
    }

    /**
     * Shuts down gracefully: directs callers to other entries, refuses waiting calls, releases the order leases and
     * waits until the calls in flight have ended or the shutdown limit has passed. May be invoked at any time, also
     * before or during the start.
     *
     * @return a future that completes when the entry has stopped, even if stopping failed
     */
    public CompletableFuture<Void> shutDown() {
        if (shuttingDown) {
            return stopped;
        }
        shuttingDown = true;
        LogEvent.GATEWAY_SHUTTING_DOWN.log(settings.id(), server.inFlight());
        new ShutdownSequence()
                .then("waiting calls", () -> server.beginShutdown(settings.shutdownLimit()))
                .then("new calls", () -> timers.schedule(MIN_DRAIN_TIME, server::refuseNewCalls))
                .then("membership", mesh::leave)
                .then("planning", planning::stop)
                .then("keys", keyedCalls::stop)
                .then("quarantine", quarantine::stop)
                .then("software versions", servingVersions::stop)
                .then("order leases", leaseManager::stop)
                .thenAwait("start", () -> started.handle((done, failure) -> null))
                .thenAwait("calls in flight", this::drain)
                .then("unfinished calls", server::endCalls)
                .thenAwait("call server", server::stop)
                .then("quotas", quotas::stop)
                .thenAwait("mesh", mesh::stop)
                .then("configuration watch", configWatcher::stop)
                .then("replica watch", replicaWatcher::stop)
                .run()
                .thenRun(() -> stopped.complete(null));
        return stopped;
    }

    /**
     * Checks if this entry should receive calls.
     *
     * @return true if the entry can serve calls, also those with keys, and is not shutting down
     */
    public boolean isReady() {
        return unreadyReason().isEmpty();
    }

    /**
     * Returns why this entry should not receive calls.
     *
     * @return the reason, empty if the entry is ready
     */
    public Optional<String> unreadyReason() {
        if (shuttingDown) {
            return Optional.of("this entry is shutting down");
        }
        return joined && canServe()
                ? keyedCalls.refusalReason()
                : Optional.of("this entry has not read the configuration and the replica list yet");
    }

    /**
     * Returns the entries that callers may use.
     *
     * @return a new list of the members considered alive; contains this entry only if it is ready
     */
    public List<Member> entries() {
        List<Member> entries = new ArrayList<>(mesh.alive());
        entries.removeIf(member -> member.id().equals(settings.id()) && !isReady());
        return entries;
    }

    /**
     * Returns the current configuration.
     *
     * @return the newest valid configuration seen, or empty if none was seen yet
     */
    public Optional<ServingConfig> config() {
        return config.current();
    }

    /**
     * Returns the state of the gateway for the status endpoint.
     *
     * @return a snapshot of the state, as values that can be written as JSON
     */
    public Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("entry", settings.id().value());
        state.put("ready", isReady());
        state.put("leaving", shuttingDown);
        state.put("configVersion", config().map(ServingConfig::version).orElse(0L));
        state.put("callsInFlight", server.inFlight());
        state.put("entriesAlive", mesh.alive());
        state.put("planningEntry", mesh.entryFor(PlanningService.DUTY));
        state.put("orderGroups", leaseManager.holders());
        state.put("replicas", catalog.describe());
        return state;
    }

    private CallServerContext callContext(
            Vertx vertx, GatewayDependencies dependencies, Ejections ejections, Random random, GatewayMetrics metrics) {
        return new CallServerContext(
                vertx,
                settings.callerAddress(),
                settings.failureDomain(),
                dependencies.callCodec(),
                catalog,
                ejections,
                mesh,
                streamVersions,
                servingVersions,
                new ProcessCheck(replicaClient),
                leavingReplicas,
                clocks.monotonic(),
                timers,
                random::nextDouble,
                metrics,
                keyedCalls.authenticator(),
                quotas,
                settings.hedging());
    }

    private ServingVersions createServingVersions(GatewayDependencies dependencies) {
        return new ServingVersions(
                store,
                catalog,
                new CurrentReplicas(store, dependencies.replicaPrefix(), dependencies.replicaDecoder()),
                GroupLease.KEY_PREFIX,
                () -> mesh.entryFor(ServingVersions.DUTY).equals(settings.id()),
                () -> config().map(current -> current.longestStreamTimeout().plus(LIST_LAG)),
                clocks.monotonic(),
                timers);
    }

    private void registerGauges(GatewayMetrics metrics) {
        metrics.registerGauge(
                "tarragonring.config.version",
                () -> config().map(ServingConfig::version).orElse(0L));
        metrics.registerGauge("tarragonring.store.era", () -> store.era().number());
        metrics.registerGauge("tarragonring.config.age.ms", configWatcher::ageMillis);
        metrics.registerGauge("tarragonring.replicas.age.ms", replicaWatcher::ageMillis);
        metrics.registerGauge(
                "tarragonring.store.events.failed", () -> configWatcher.failedEvents() + replicaWatcher.failedEvents());
        metrics.registerGauge("tarragonring.requests.suspected", quarantine::suspectCount);
        metrics.registerGauge("tarragonring.entries.alive", () -> mesh.alive().size());
        metrics.registerGauge("tarragonring.order.groups.held", leaseManager::heldGroupCount);
        metrics.registerGauge(
                "tarragonring.replicas.listed", () -> catalog.all().size());
    }

    private void joinWhenReady() {
        if (shuttingDown) {
            return;
        }
        if (canServe()) {
            joined = true;
            mesh.join();
            LogEvent.GATEWAY_READINESS_CHANGED.log(settings.id(), true, "configuration and replica list received");
        } else {
            timers.schedule(STATE_CHECK_INTERVAL, this::joinWhenReady);
        }
    }

    private boolean isStoreReachable() {
        return replicaWatcher.isReachable();
    }

    private boolean canServe() {
        return config().isPresent() && replicaWatcher.isListed() && quarantine.isListed();
    }

    /** Waits until the calls in flight have ended and callers have stopped to use this entry, if it has joined. */
    private CompletableFuture<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        completeWhenDrained(clocks.monotonic().millis(), drained);
        return drained;
    }

    private void completeWhenDrained(long startMillis, CompletableFuture<Void> drained) {
        long waitedMillis = clocks.monotonic().millis() - startMillis;
        boolean isDrained = server.inFlight() == 0 && (!joined || waitedMillis >= MIN_DRAIN_TIME.toMillis());
        if (!isDrained && waitedMillis < settings.shutdownLimit().toMillis()) {
            timers.schedule(STATE_CHECK_INTERVAL, () -> completeWhenDrained(startMillis, drained));
            return;
        }
        LogEvent.GATEWAY_STOPPED.log(settings.id(), server.inFlight());
        drained.complete(null);
    }

    private void onConfigActivated(ServingConfig activated) {
        LogEvent.SERVING_CONFIG_ACTIVATED.log(
                activated.version(), activated.hostCount(), activated.services().size(), configWatcher.ageMillis());
        quotas.onConfigChanged();
        catalog.notifyListeners();
    }

    /** Removes a replica; the name of an object that another writer has left may be no valid id. */
    private void onReplicaRemoved(String key) {
        UpstreamId.parse(key.substring(key.indexOf('/') + 1)).ifPresent(catalog::remove);
    }

    private OrderLeaseManager createLeaseManager() {
        return new OrderLeaseManager(
                settings.id(),
                mesh,
                createLeases(),
                settings.handoverDelay(),
                this::isStoreReachable,
                clocks.monotonic(),
                timers);
    }

    private LoadRequestRouter createLoadRouter() {
        return new LoadRequestRouter(
                settings.id(),
                leaseManager,
                catalog,
                replicaClient,
                mesh,
                this::config,
                clocks.monotonic(),
                new Delays(timers));
    }

    private List<GroupLease> createLeases() {
        List<GroupLease> leases = new ArrayList<>();
        for (int group = 0; group < OrderGroups.GROUP_COUNT; group++) {
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

    private StoreWatcher createWatcher(
            String prefix,
            Duration watchTimeout,
            Duration batchDelay,
            Consumer<StoredObject> onChanged,
            Consumer<String> onDeleted) {
        return new StoreWatcher(
                prefix, watchTimeout, batchDelay, store, clocks.monotonic(), timers, onChanged, onDeleted);
    }
}
