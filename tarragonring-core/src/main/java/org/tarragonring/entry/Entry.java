package org.tarragonring.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import org.tarragonring.admission.RetryBudget;
import org.tarragonring.admission.TeamShares;
import org.tarragonring.caller.CallDependencies;
import org.tarragonring.caller.CallMetrics;
import org.tarragonring.caller.ConnectionLimiter;
import org.tarragonring.claim.ClaimStore;
import org.tarragonring.dispatch.AdapterLoader;
import org.tarragonring.dispatch.DispatchContext;
import org.tarragonring.dispatch.DispatchLimits;
import org.tarragonring.dispatch.ModelDispatcher;
import org.tarragonring.dispatch.ModelDispatchers;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.HttpInstanceList;
import org.tarragonring.objects.HttpObjectStore;
import org.tarragonring.objects.Instance;
import org.tarragonring.operator.AdminHandler;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.Notice;
import org.tarragonring.peer.UdpTransport;
import org.tarragonring.placement.Invariants;
import org.tarragonring.placement.LearnedIdlePolicy;
import org.tarragonring.placement.LoadPermits;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.TargetPicker;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;
import org.tarragonring.upstream.HttpEngineClient;
import org.tarragonring.upstream.UpstreamClient;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * One entry: takes callers' requests and acts together with the other entries.
 *
 * <pre>{@code
 * Entry entry = new Entry(Vertx.vertx(), settings);
 * entry.start().join();
 * entry.shutDown().join();
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Entry {

    private static final Duration DISPATCH_TICK = Duration.ofMillis(20);
    private static final Duration DRAIN_CHECK = Duration.ofMillis(50);
    private static final Duration SUSPECT_MEMORY = Duration.ofMinutes(10);
    private static final Duration PERMIT_LIFETIME = Duration.ofSeconds(20);
    private static final Duration BLOCK_LIFETIME = Duration.ofSeconds(10);
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 512;
    private static final int KEEP_ALIVE_SECONDS = 20;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final Timers timers;
    private final Clocks clocks = Clocks.system();
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final UdpTransport link;
    private final ControlPlane control;
    private final ModelDispatchers dispatchers;
    private final CallDependencies services;
    private final ConnectionLimiter guard;
    private final List<HttpServer> servers = new ArrayList<>();
    private volatile boolean leaving;
    private volatile boolean cutOff;
    private volatile HostPort callerAddress;
    private volatile HostPort adminAddress;
    private Timers.Task dispatchTick = () -> {};

    /**
     * Creates an entry that does not run yet.
     *
     * @param vertx runs the entry, not null
     * @param settings the entry's settings, not null
     */
    public Entry(Vertx vertx, EntrySettings settings) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.timers = new VertxTimers(vertx);
        this.link = new UdpTransport(vertx, new DatagramCodec(settings.peerKey()));
        WebClient platformClient =
                WebClient.create(vertx, new WebClientOptions().setKeepAliveTimeout(KEEP_ALIVE_SECONDS));
        HttpObjectStore objects = new HttpObjectStore(platformClient, settings.platform(), settings.platformTimeout());
        UpstreamDirectory directory = new UpstreamDirectory(
                new HttpInstanceList(platformClient, settings.platform(), settings.platformTimeout()),
                address -> new HttpEngineClient(platformClient, address, settings.platformTimeout()));
        Quarantine quarantine = new Quarantine(clocks.monotonic(), SUSPECT_MEMORY);
        Random random = new Random(UUID.randomUUID().getMostSignificantBits());
        this.control = new ControlPlane(
                settings,
                objects,
                clocks,
                timers,
                link,
                directory,
                action -> vertx.executeBlocking(() -> runInBackground(action), false),
                random,
                new LearnedIdlePolicy(settings.idleKeep(), settings.idleSecondsPerLateSecond()),
                Invariants.logging(),
                placement -> dispatchers().getOrCreate(placement.model()).onPlacement(placement),
                notice -> onNotice(quarantine, notice));
        Ejections ejections = new Ejections(clocks.monotonic());
        this.dispatchers = new ModelDispatchers(new DispatchContext(
                clocks.monotonic(),
                new TargetPicker(() -> ThreadLocalRandom.current().nextLong()),
                ejections,
                upstream -> directory.acceptsNewWork(upstream) && ejections.isAvailable(upstream),
                upstream -> failureDomain(directory, upstream),
                control::report,
                new DispatchLimits(
                        settings.queuedCallsPerModel(),
                        DispatchLimits.DEFAULT.queuedReportIntervalMillis(),
                        DispatchLimits.DEFAULT.busyReportIntervalMillis())));
        this.services = services(directory, ejections, quarantine);
        this.guard = new ConnectionLimiter(
                settings.callerLimits().maxConnections(),
                settings.callerLimits().requestTimeout(),
                clocks.monotonic(),
                timers);
        registerGauges();
    }

    /**
     * Starts listening and joins the other entries.
     *
     * @return completes when the entry listens and has joined; it may not be ready to serve yet
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        link.start(settings.peerAddress(), control::receive)
                .thenCompose(peer -> listen().toCompletionStage().thenApply(done -> peer))
                .thenAccept(peer -> control.start(callerAddress, peer)
                        .subscribe()
                        .with(
                                done -> {
                                    guard.start();
                                    dispatchTick = timers.scheduleWithFixedDelay(DISPATCH_TICK, dispatchers::tick);
                                    LogEvent.ENTRY_STARTED.log(settings.id(), callerAddress, peer);
                                    started.complete(null);
                                },
                                started::completeExceptionally))
                .exceptionally(failure -> {
                    started.completeExceptionally(failure);
                    return null;
                });
        return started;
    }

    /**
     * Shuts down gracefully: turns callers away, lets calls in flight end, then gives the lease up.
     *
     * @return completes when the entry has stopped; at the latest when the shutdown limit has passed
     */
    public CompletableFuture<Void> shutDown() {
        leaving = true;
        LogEvent.ENTRY_SHUTTING_DOWN.log(settings.id(), services.teamShares().totalInFlight());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        long untilMillis =
                clocks.monotonic().millis() + settings.shutdownLimit().toMillis();
        control.leave().subscribe().with(done -> drain(untilMillis, stopped), failure -> drain(untilMillis, stopped));
        return stopped;
    }

    /** Ends a shutdown without waiting for the calls that are still in flight. */
    public void cutOff() {
        cutOff = true;
    }

    /**
     * Stops at once, as a crash would: calls are cut off and the lease is left to lapse.
     *
     * @return completes when nothing of the entry runs any more
     */
    public CompletableFuture<Void> kill() {
        control.stop();
        guard.stop();
        dispatchTick.cancel();
        return closeAll();
    }

    /**
     * Checks if the entry may serve.
     *
     * @return true if it has the latest configuration and is not leaving
     */
    public boolean isReady() {
        return !leaving && control.isReady();
    }

    /**
     * Returns where callers reach the entry.
     *
     * @return the address, null before the start
     */
    public HostPort callerAddress() {
        return callerAddress;
    }

    /**
     * Returns where operators reach the entry.
     *
     * @return the address, null before the start
     */
    public HostPort adminAddress() {
        return adminAddress;
    }

    /**
     * Describes the entry.
     *
     * @return its state at this moment
     */
    public EntryState state() {
        return new EntryState(
                control.state(),
                leaving,
                services.teamShares().totalInFlight(),
                dispatchers.states(),
                services.claims().operationCount(),
                services.claims().writeCount(),
                link.sentBytes(),
                link.receivedBytes());
    }

    private void registerGauges() {
        Gauge.builder("tarragonring.config.generation", () -> control.config().generation())
                .register(registry);
        Gauge.builder(
                        "tarragonring.calls.in.flight",
                        () -> services.teamShares().totalInFlight())
                .register(registry);
        Gauge.builder("tarragonring.caller.connections", guard::connections).register(registry);
        Gauge.builder("tarragonring.invariant.breaches", () -> control.state().invariantBreaches())
                .register(registry);
        Gauge.builder("tarragonring.lease.valid", () -> control.state().leaseValid() ? 1 : 0)
                .register(registry);
    }

    private ModelDispatchers dispatchers() {
        return dispatchers;
    }

    private CallDependencies services(UpstreamDirectory directory, Ejections ejections, Quarantine quarantine) {
        LoadPermits permits = new LoadPermits(
                control.records(),
                clocks.wall(),
                settings.id(),
                "adapters",
                settings.adaptersInFlight(),
                PERMIT_LIFETIME);
        AdapterLoader adapters = new AdapterLoader(
                directory,
                permits,
                settings.id().value(),
                settings.adapterBlock(),
                BLOCK_LIFETIME,
                clocks.monotonic(),
                timers);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM);
        UpstreamClient client = new UpstreamClient(
                vertx.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(KEEP_ALIVE_SECONDS), pool));
        return new CallDependencies(
                control.config(),
                dispatchers,
                adapters,
                new ClaimStore(control.records(), clocks.wall(), timers, settings.claimLifetime()),
                client,
                directory,
                ejections,
                quarantine,
                subject -> control.tellSuspect(subject, SUSPECT_MEMORY),
                new RetryBudget(),
                new TeamShares(settings.callsInFlight()),
                control::homes,
                control::isReady,
                () -> leaving,
                () -> new CallId(UUID.randomUUID().toString()),
                clocks.monotonic(),
                new CallMetrics(registry),
                settings.callerLimits());
    }

    private static Void runInBackground(Runnable action) {
        action.run();
        return null;
    }

    private static void onNotice(Quarantine quarantine, Notice notice) {
        if (notice.kind() == Notice.Kind.SUSPECT_REQUEST) {
            quarantine.recordReportedFailure(notice.subject());
        }
    }

    private static String failureDomain(UpstreamDirectory directory, UpstreamId upstream) {
        return directory.instance(upstream).map(Instance::failureDomain).orElse("unknown");
    }

    private Future<Void> listen() {
        HttpServerOptions options =
                new HttpServerOptions().setMaxHeaderSize(settings.callerLimits().maxHeaderBytes());
        AdminHandler admin = new AdminHandler(vertx, this::isReady, registry, this::state);
        return listenForCallers(options, settings.callerAddress(), settings.eventLoops())
                .compose(done -> vertx.createHttpServer()
                        .requestHandler(admin.createRouter())
                        .listen(
                                settings.adminAddress().port(),
                                settings.adminAddress().host()))
                .map(server -> {
                    servers.add(server);
                    adminAddress = new HostPort(settings.adminAddress().host(), server.actualPort());
                    return null;
                });
    }

    /** Starts as many servers on one address as there are event loops to serve callers; they share its connections. */
    private Future<Void> listenForCallers(HttpServerOptions options, HostPort address, int eventLoops) {
        int port = address.port() == 0 ? sharedRandomPort() : address.port();
        List<CallerServer> callerServers = new ArrayList<>();
        for (int i = 0; i < eventLoops; i++) {
            callerServers.add(new CallerServer(options, port, address.host(), services, guard));
        }
        Iterator<CallerServer> next = callerServers.iterator();
        return vertx.deployVerticle(next::next, new DeploymentOptions().setInstances(eventLoops))
                .map(id -> {
                    callerServers.forEach(server -> servers.add(server.server()));
                    callerAddress = new HostPort(
                            address.host(), callerServers.get(0).server().actualPort());
                    return null;
                });
    }

    /** Returns a negative number, for which Vert.x chooses one port that all servers with this number share. */
    private static int sharedRandomPort() {
        return -1 - ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE - 1);
    }

    private void drain(long untilMillis, CompletableFuture<Void> stopped) {
        int inFlight = services.teamShares().totalInFlight();
        boolean over = inFlight == 0 || cutOff || clocks.monotonic().millis() >= untilMillis;
        if (!over) {
            timers.schedule(DRAIN_CHECK, () -> drain(untilMillis, stopped));
            return;
        }
        kill().whenComplete((done, failure) -> {
            LogEvent.ENTRY_STOPPED.log(settings.id(), inFlight);
            stopped.complete(null);
        });
    }

    private CompletableFuture<Void> closeAll() {
        List<Future<Void>> closing = servers.stream().map(HttpServer::close).toList();
        return Future.join(closing)
                .otherwiseEmpty()
                .toCompletionStage()
                .toCompletableFuture()
                .thenCompose(done -> link.stop())
                .handle((done, failure) -> null);
    }

    /**
     * An entry's state.
     *
     * @param control the control plane's state, not null
     * @param leaving whether the entry is shutting down
     * @param callsInFlight the calls that it has accepted and not ended
     * @param dispatchers the models that are called here, not null
     * @param claimOperations how many changes of claims were asked for
     * @param claimWrites how many writes were made for them
     * @param peerBytesSent the bytes sent to other entries
     * @param peerBytesReceived the bytes received from other entries
     */
    public record EntryState(
            ControlState control,
            boolean leaving,
            int callsInFlight,
            List<ModelDispatcher.DispatcherState> dispatchers,
            long claimOperations,
            long claimWrites,
            long peerBytesSent,
            long peerBytesReceived) {}
}
