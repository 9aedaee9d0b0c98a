package org.tarragonring.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
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
import org.tarragonring.peer.UdpTransport;
import org.tarragonring.placement.Invariants;
import org.tarragonring.placement.LearnedIdlePolicy;
import org.tarragonring.placement.LoadPermits;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.TargetPicker;
import org.tarragonring.service.ShutdownSequence;
import org.tarragonring.spread.FailureReports;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;
import org.tarragonring.upstream.HttpEngineClient;
import org.tarragonring.upstream.UpstreamClient;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * An entry process: serves callers and operators, and coordinates with the other entries.
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

    private static final Duration DISPATCH_TICK_PERIOD = Duration.ofMillis(20);
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final Duration SUSPECT_REQUEST_RETENTION = Duration.ofMinutes(10);
    private static final Duration ADAPTER_PERMIT_LIFETIME = Duration.ofSeconds(20);
    private static final Duration ADAPTER_BLOCK_LIFETIME = Duration.ofSeconds(10);
    private static final int KEEP_ALIVE_SECONDS = 20;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final Timers timers;
    private final Clocks clocks = Clocks.system();
    private final PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final UdpTransport transport;
    private final ControlPlane controlPlane;
    private final FailureReports failureReports;
    private final ModelDispatchers dispatchers;
    private final CallDependencies callDependencies;
    private final ConnectionLimiter connectionLimiter;
    private final List<HttpServer> servers = new ArrayList<>();
    private volatile boolean shuttingDown;
    private volatile boolean drainAborted;
    private volatile HostPort callerAddress;
    private volatile HostPort adminAddress;
    private volatile CompletableFuture<HostPort> listening = CompletableFuture.completedFuture(null);
    private Timers.Task dispatchTask = () -> {};

    /**
     * Creates an entry that is not started.
     *
     * @param vertx the Vert.x instance that runs the entry, not null
     * @param settings the settings of the entry, not null
     */
    public Entry(Vertx vertx, EntrySettings settings) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.timers = new VertxTimers(vertx);
        this.transport = new UdpTransport(vertx, new DatagramCodec(settings.peerKey()));
        WebClient platformClient =
                WebClient.create(vertx, new WebClientOptions().setKeepAliveTimeout(KEEP_ALIVE_SECONDS));
        HttpObjectStore objects =
                new HttpObjectStore(platformClient, settings.platformAddress(), settings.platformTimeout());
        UpstreamDirectory directory = new UpstreamDirectory(
                new HttpInstanceList(platformClient, settings.platformAddress(), settings.platformTimeout()),
                address -> new HttpEngineClient(platformClient, address, settings.platformTimeout()));
        Quarantine quarantine = new Quarantine(clocks.monotonic(), SUSPECT_REQUEST_RETENTION);
        Random random = new Random(UUID.randomUUID().getMostSignificantBits());
        this.controlPlane = new ControlPlane(
                settings,
                objects,
                clocks,
                timers,
                transport,
                directory,
                action -> vertx.executeBlocking(() -> runInBackground(action), false),
                random,
                new LearnedIdlePolicy(settings.initialIdleTimeout(), settings.idleSecondsPerLateSecond()),
                Invariants.logging(),
                placement -> dispatchers().getOrCreate(placement.model()).onPlacement(placement),
                (from, report) -> failureReports().receive(from, report));
        this.failureReports = new FailureReports(
                settings.id(),
                quarantine,
                new StartedPeers(controlPlane::messenger),
                clocks.monotonic(),
                timers,
                random);
        Ejections ejections = new Ejections(clocks.monotonic());
        this.dispatchers = new ModelDispatchers(new DispatchContext(
                clocks.monotonic(),
                new TargetPicker(() -> ThreadLocalRandom.current().nextLong()),
                ejections,
                upstream -> directory.acceptsNewWork(upstream) && ejections.isAvailable(upstream),
                upstream -> failureDomainOf(directory, upstream),
                controlPlane::reportDemand,
                new DispatchLimits(
                        settings.maxQueuedCallsPerModel(),
                        DispatchLimits.DEFAULT.queuedReportIntervalMillis(),
                        DispatchLimits.DEFAULT.busyReportIntervalMillis())));
        this.callDependencies = createCallDependencies(directory, ejections, quarantine);
        this.connectionLimiter = new ConnectionLimiter(
                settings.callerLimits().maxConnections(),
                settings.callerLimits().requestTimeout(),
                clocks.monotonic(),
                timers);
        registerGauges();
    }

    /**
     * Starts to listen, then starts the control plane.
     *
     * @return completes when the entry listens and its control plane is started, which may be before the entry is ready
     *     to serve calls; fails if the entry cannot listen, or is stopped before it has started
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<HostPort> peerListening = shuttingDown
                ? CompletableFuture.failedFuture(new CancellationException("the entry was stopped before its start"))
                : transport.start(settings.peerAddress(), controlPlane::receive);
        listening = peerListening.thenCompose(
                peerAddress -> listen().toCompletionStage().thenApply(done -> peerAddress));
        listening
                .thenAccept(peerAddress -> startControlPlane(peerAddress, started))
                .exceptionally(failure -> {
                    started.completeExceptionally(failure);
                    return null;
                });
        return started;
    }

    private void startControlPlane(HostPort peerAddress, CompletableFuture<Void> started) {
        if (shuttingDown) {
            throw new CancellationException("the entry was stopped during its start");
        }
        controlPlane
                .start(callerAddress, peerAddress)
                .subscribe()
                .with(
                        done -> {
                            connectionLimiter.start();
                            failureReports.start();
                            dispatchTask = timers.scheduleWithFixedDelay(DISPATCH_TICK_PERIOD, dispatchers::tick);
                            LogEvent.ENTRY_STARTED.log(settings.id(), callerAddress, peerAddress);
                            started.complete(null);
                        },
                        started::completeExceptionally);
    }

    /**
     * Shuts down gracefully: refuses new calls, waits for the calls in flight, then stops. May be invoked at any time,
     * also before or during the start.
     *
     * @return completes when the entry has stopped; calls that are still in flight at the shutdown limit are aborted
     */
    public CompletableFuture<Void> shutDown() {
        shuttingDown = true;
        LogEvent.ENTRY_SHUTTING_DOWN.log(
                settings.id(), callDependencies.teamShares().totalInFlight());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        long deadlineMillis =
                clocks.monotonic().millis() + settings.shutdownLimit().toMillis();
        controlPlane
                .announceShutdown()
                .subscribe()
                .with(done -> drain(deadlineMillis, stopped), failure -> drain(deadlineMillis, stopped));
        return stopped;
    }

    /** Makes a shutdown abort the calls that are still in flight instead of waiting for them. */
    public void abortDrain() {
        drainAborted = true;
    }

    /**
     * Stops immediately, as in a crash: calls are aborted and the stored lease is left to expire.
     *
     * @return completes when closing the servers has ended; never fails
     */
    public CompletableFuture<Void> kill() {
        shuttingDown = true;
        return new ShutdownSequence()
                .then("control plane", controlPlane::stop)
                .then("connection limiter", connectionLimiter::stop)
                .then("failure reports", failureReports::stop)
                .then("dispatchers", dispatchTask::cancel)
                .thenAwait("start", () -> listening.handle((address, failure) -> null))
                .thenAwait("servers", this::closeServers)
                .thenAwait("peer transport", transport::stop)
                .run();
    }

    /**
     * Checks whether the entry may serve calls.
     *
     * @return true if its control plane is ready and it is not shutting down
     */
    public boolean isReady() {
        return !shuttingDown && controlPlane.isReady();
    }

    /**
     * Returns the address on which the entry listens for callers.
     *
     * @return the address with the actual port, null before the entry listens
     */
    public HostPort callerAddress() {
        return callerAddress;
    }

    /**
     * Returns the address on which the entry listens for operators.
     *
     * @return the address with the actual port, null before the entry listens
     */
    public HostPort adminAddress() {
        return adminAddress;
    }

    /**
     * Returns a snapshot of the state.
     *
     * @return the current state, never null
     */
    public EntryState state() {
        return new EntryState(
                controlPlane.state(),
                shuttingDown,
                callDependencies.teamShares().totalInFlight(),
                dispatchers.states(),
                callDependencies.claims().operationCount(),
                callDependencies.claims().writeCount(),
                transport.sentBytes(),
                transport.receivedBytes());
    }

    private void registerGauges() {
        Gauge.builder(
                        "tarragonring.config.generation",
                        () -> controlPlane.config().generation())
                .register(meterRegistry);
        Gauge.builder(
                        "tarragonring.calls.in.flight",
                        () -> callDependencies.teamShares().totalInFlight())
                .register(meterRegistry);
        Gauge.builder("tarragonring.caller.connections", connectionLimiter::connections)
                .register(meterRegistry);
        Gauge.builder(
                        "tarragonring.invariant.breaches",
                        () -> controlPlane.state().invariantBreaches())
                .register(meterRegistry);
        Gauge.builder("tarragonring.lease.valid", () -> controlPlane.state().leaseValid() ? 1 : 0)
                .register(meterRegistry);
    }

    /** Returns the failure reports, for a lambda that the constructor creates before it assigns the field. */
    private FailureReports failureReports() {
        return failureReports;
    }

    /** Returns the dispatchers, for lambdas that the constructor creates before it assigns the field. */
    private ModelDispatchers dispatchers() {
        return dispatchers;
    }

    private CallDependencies createCallDependencies(
            UpstreamDirectory directory, Ejections ejections, Quarantine quarantine) {
        LoadPermits adapterPermits = new LoadPermits(
                controlPlane.records(),
                clocks.wall(),
                settings.id(),
                "adapters",
                settings.maxParallelAdapterLoads(),
                ADAPTER_PERMIT_LIFETIME);
        AdapterLoader adapterLoader = new AdapterLoader(
                directory,
                adapterPermits,
                settings.id().value(),
                settings.adapterBlockSize(),
                ADAPTER_BLOCK_LIFETIME,
                clocks.monotonic(),
                timers);
        return new CallDependencies(
                controlPlane.config(),
                dispatchers,
                adapterLoader,
                new ClaimStore(controlPlane.records(), clocks.wall(), timers, settings.claimLifetime()),
                UpstreamClient.create(vertx),
                directory,
                ejections,
                quarantine,
                failureReports,
                new RetryBudget(),
                new TeamShares(settings.maxCallsInFlight()),
                controlPlane::rankedHomes,
                controlPlane::isReady,
                () -> shuttingDown,
                () -> new CallId(UUID.randomUUID().toString()),
                clocks.monotonic(),
                new CallMetrics(meterRegistry),
                settings.callerLimits());
    }

    private static Void runInBackground(Runnable action) {
        action.run();
        return null;
    }

    private static String failureDomainOf(UpstreamDirectory directory, UpstreamId upstream) {
        return directory.instance(upstream).map(Instance::failureDomain).orElse("unknown");
    }

    private Future<Void> listen() {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(settings.callerLimits().maxHeaderBytes())
                .setHttp2ClearTextEnabled(false);
        AdminHandler adminHandler = new AdminHandler(vertx, this::isReady, meterRegistry, this::state);
        return listenForCallers(options, settings.callerAddress(), settings.eventLoops())
                .compose(done -> vertx.createHttpServer()
                        .requestHandler(adminHandler.createRouter())
                        .listen(
                                settings.adminAddress().port(),
                                settings.adminAddress().host()))
                .map(server -> {
                    servers.add(server);
                    adminAddress = new HostPort(settings.adminAddress().host(), server.actualPort());
                    return null;
                });
    }

    /** Starts one server per event loop. All share one address, and Vert.x distributes connections over them. */
    private Future<Void> listenForCallers(HttpServerOptions options, HostPort address, int eventLoops) {
        int port = address.port() == 0 ? randomSharedPort() : address.port();
        List<CallerServer> callerServers = new ArrayList<>();
        for (int i = 0; i < eventLoops; i++) {
            callerServers.add(new CallerServer(options, port, address.host(), callDependencies, connectionLimiter));
        }
        Iterator<CallerServer> verticles = callerServers.iterator();
        return vertx.deployVerticle(verticles::next, new DeploymentOptions().setInstances(eventLoops))
                .map(id -> {
                    callerServers.forEach(server -> servers.add(server.server()));
                    callerAddress = new HostPort(
                            address.host(), callerServers.get(0).server().actualPort());
                    return null;
                });
    }

    /** Returns a random negative port. Vert.x lets all servers with the same negative port share one free port. */
    private static int randomSharedPort() {
        return -1 - ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE - 1);
    }

    private void drain(long deadlineMillis, CompletableFuture<Void> stopped) {
        int inFlight = callDependencies.teamShares().totalInFlight();
        boolean drainEnded = inFlight == 0 || drainAborted || clocks.monotonic().millis() >= deadlineMillis;
        if (!drainEnded) {
            timers.schedule(DRAIN_CHECK_INTERVAL, () -> drain(deadlineMillis, stopped));
            return;
        }
        kill().whenComplete((done, failure) -> {
            LogEvent.ENTRY_STOPPED.log(settings.id(), inFlight);
            stopped.complete(null);
        });
    }

    private CompletionStage<?> closeServers() {
        List<Future<Void>> closing = servers.stream().map(HttpServer::close).toList();
        return Future.join(closing).toCompletionStage();
    }

    /**
     * A snapshot of the state of an entry. It is served to operators as JSON, with the component names as property
     * names.
     *
     * @param control the state of the control plane, not null
     * @param leaving whether the entry is shutting down
     * @param callsInFlight the number of calls in flight
     * @param dispatchers the states of the model dispatchers, not null
     * @param claimOperations the number of requested claim operations
     * @param claimWrites the number of writes to the platform's object store for these operations
     * @param peerBytesSent the number of bytes sent to other entries
     * @param peerBytesReceived the number of bytes received from other entries
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
