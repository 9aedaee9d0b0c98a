package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.fairness.FairnessService;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.gateway.quarantine.RequestQuarantine;
import org.tarragonring.gateway.quota.QuotaReservation;
import org.tarragonring.gateway.quota.QuotaService;
import org.tarragonring.gateway.routing.UnevenRouting;
import org.tarragonring.gateway.team.CallAuthenticator;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.budget.RetryBudgets;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.ServiceSpec;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.hedge.HedgePolicy;
import org.tarragonring.policy.team.Team;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * HTTP server for calls: finds the route of each call, reads its body and passes it to the forwarder.
 *
 * @since 0.2.0
 */
public final class CallServer {

    /** The connect timeout for replicas; nothing has been sent when it expires. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** The maximum number of connections to one replica; replicas have a limit of their own. */
    private static final int MAX_CONNECTIONS_PER_REPLICA = 200;

    /** The maximum size of a header section that the server parses, above every configured limit. */
    private static final int MAX_PARSED_HEADER_BYTES = 262_144;

    /** The bytes of a header field besides its name and value: a colon, a space and the end of the line. */
    private static final int HEADER_FIELD_OVERHEAD_BYTES = 4;

    private static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    private static final long NO_MEMORY_RETRY_AFTER_MILLIS = 1_000;

    /** Bodies may take up a quarter of the heap: while one is received or sent, parts of it exist several times. */
    private static final int HEAP_BYTES_PER_BODY_BYTE = 4;

    /** Keeps the system from enlarging the buffers of sockets whose peers do not read, up to tens of megabytes each. */
    private static final int SOCKET_BUFFER_BYTES = 256 << 10;

    private static final Duration SHORTEST_DELAY = Duration.ofMillis(1);

    private final Vertx vertx;
    private final HostPort address;
    private final CallCodec codec;
    private final Supplier<Optional<ServingConfig>> config;
    private final BooleanSupplier ready;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final CallerConnections callerConnections;
    private final StallDetector stallDetector;
    private final Timers timers;
    private final LocalResponses localResponses;
    private final BodyReader bodyReader;
    private final CallAuthenticator authenticator;
    private final QuotaService quotas;
    private final ShutdownAdmission shutdownAdmission;
    private final FairnessService fairness;
    private final UnevenRouting routing;
    private final Forwarder forwarder;
    private final DemandReporter demandReporter;
    private HttpServer server;
    private boolean refusesNewCalls;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context the collaborators of the server, not null
     * @param config returns the current configuration, not null
     * @param ready returns whether calls can be served, not null
     * @param shuttingDown returns whether this entry is shutting down, not null
     * @param budgets the retry budgets of the services, not null
     * @param quarantine the requests that make replicas fail, not null
     * @param loadRouter receives requests to load adapters, not null
     */
    public CallServer(
            CallServerContext context,
            Supplier<Optional<ServingConfig>> config,
            BooleanSupplier ready,
            BooleanSupplier shuttingDown,
            RetryBudgets budgets,
            RequestQuarantine quarantine,
            LoadRequestRouter loadRouter) {
        this.vertx = context.vertx();
        this.address = context.address();
        this.codec = context.codec();
        this.config = Objects.requireNonNull(config, "config");
        this.ready = Objects.requireNonNull(ready, "ready");
        this.clock = context.clock();
        this.random = context.random();
        this.authenticator = context.authenticator();
        this.quotas = context.quotas();
        this.callerConnections = new CallerConnections(() -> limits().idleTimeout(), context.clock(), context.timers());
        this.stallDetector = new StallDetector(context.clock(), context.timers());
        this.timers = context.timers();
        this.localResponses = new LocalResponses(shuttingDown);
        MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_BODY_BYTE);
        this.bodyReader = new BodyReader(memory, callerConnections, timers);
        this.fairness = new FairnessService(
                context.mesh(), config, context.catalog(), context.metrics(), clock, timers, random);
        this.routing = new UnevenRouting(
                context.failureDomain(),
                context.mesh(),
                context.catalog(),
                config,
                clock,
                timers,
                random,
                context.metrics());
        this.forwarder = new Forwarder(
                codec,
                context.catalog(),
                routing,
                context.ejections(),
                createReplicaClient(vertx),
                budgets,
                quarantine,
                clock,
                context.timers(),
                callerConnections,
                localResponses,
                context.leavingReplicas(),
                memory,
                new StreamResumption(
                        context.streamVersions(), context.servingVersions(), context.catalog(), context.processCheck()),
                context.metrics(),
                new LoadExpectation(
                        context.catalog(),
                        clock,
                        context.timers(),
                        (service, model) -> config.get().flatMap(current -> current.findModel(service, model))),
                fairness.calls(),
                new HedgePolicy(context.hedging(), clock));
        this.shutdownAdmission = new ShutdownAdmission(forwarder.durationEstimator(), clock);
        this.demandReporter = new DemandReporter(
                forwarder, context.catalog(), routing, loadRouter, context.mesh(), clock, context.timers());
        context.catalog().addChangeListener(forwarder::dispatchWaiting);
        context.catalog().addFailureListener(forwarder::onReplicaFailed);
        registerGauges(context.metrics(), memory);
    }

    private static HttpClientAgent createReplicaClient(Vertx vertx) {
        HttpClientOptions options = new HttpClientOptions()
                .setSendBufferSize(SOCKET_BUFFER_BYTES)
                .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
                .setKeepAlive(false)
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setDecompressionSupported(false);
        return vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_REPLICA));
    }

    private void registerGauges(GatewayMetrics metrics, MemoryBudget memory) {
        metrics.registerGauge("tarragonring.calls.in.flight", forwarder::inFlight);
        metrics.registerGauge("tarragonring.bodies.bytes", memory::usedBytes);
        metrics.registerGauge(
                "tarragonring.calls.waiting", () -> forwarder.waiting().size());
    }

    /**
     * Starts listening.
     *
     * @return a future that completes when callers can connect
     */
    public CompletableFuture<Void> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setSendBufferSize(SOCKET_BUFFER_BYTES)
                .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
                .setMaxHeaderSize(MAX_PARSED_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_PARSED_HEADER_BYTES)
                // Calls and connections belong together here: one call that breaks off ends its connection.
                .setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(options)
                .connectionHandler(callerConnections::onOpened)
                .requestHandler(this::onRequest);
        fairness.start();
        demandReporter.start();
        routing.start();
        callerConnections.start();
        stallDetector.start();
        return server.listen(address.port(), address.host())
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /**
     * Stops listening and closes the remaining connections. Does nothing if the server was not started.
     *
     * @return a future that completes when all connections are closed
     */
    public CompletableFuture<Void> stop() {
        fairness.stop();
        demandReporter.stop();
        routing.stop();
        callerConnections.stop();
        stallDetector.stop();
        return server == null
                ? CompletableFuture.completedFuture(null)
                : server.close().toCompletionStage().toCompletableFuture();
    }

    /**
     * Refuses all calls that wait for a load, now and later, and new calls that would not end in time. Calls already sent to
     * replicas continue.
     *
     * @param limit the time after which {@link #stop} is invoked at the latest, not null
     */
    public void beginShutdown(Duration limit) {
        shutdownAdmission.begin(limit);
        forwarder.beginShutdown();
    }

    /** Refuses all new calls from now on, as this entry no longer has the time to complete them. */
    public void refuseNewCalls() {
        refusesNewCalls = true;
    }

    /** Ends the calls that have not ended by themselves, each with a response that tells whether it may have run. */
    public void endCalls() {
        forwarder.endAll();
    }

    /**
     * Returns the number of calls that have not ended.
     *
     * @return the number of calls in flight, waiting calls included
     */
    public int inFlight() {
        return forwarder.inFlight();
    }

    /**
     * Returns what chooses replicas, which also knows their speeds while this entry plans.
     *
     * @return the choice of replicas, never null
     */
    public UnevenRouting unevenRouting() {
        return routing;
    }

    private RequestLimits limits() {
        return config.get().map(ServingConfig::limits).orElse(RequestLimits.DEFAULT);
    }

    private static int headerBytes(HttpServerRequest request) {
        int bytes = request.uri().length();
        for (Map.Entry<String, String> field : request.headers()) {
            bytes += field.getKey().length() + field.getValue().length() + HEADER_FIELD_OVERHEAD_BYTES;
        }
        return bytes;
    }

    private void onRequest(HttpServerRequest request) {
        long arrivalMillis = clock.millis();
        callerConnections.onReceived(request.connection());
        if (headerBytes(request) > limits().maxHeaderBytes()) {
            localResponses.sendError(
                    request,
                    LocalResponses.HEADERS_TOO_LARGE,
                    "the headers exceed %d bytes".formatted(limits().maxHeaderBytes()));
            return;
        }
        CallHead head;
        try {
            head = codec.decode(request.headers());
        } catch (IllegalArgumentException e) {
            LogEvent.CALL_REFUSED.log("malformed", "not-run", e.getMessage());
            localResponses.sendError(request, LocalResponses.BAD_REQUEST, e.getMessage());
            return;
        }
        if (config.get().isEmpty() || !ready.getAsBoolean()) {
            refuseBeforeForwarding(request, head, "this entry is not ready", NOT_READY_RETRY_AFTER_MILLIS);
            return;
        }
        if (refusesNewCalls) {
            refuseBeforeForwarding(
                    request, head, "this entry is shutting down", LocalResponses.SHUTDOWN_RETRY_AFTER_MILLIS);
            return;
        }
        ServingConfig currentConfig = config.get().get();
        String host = request.authority() == null ? "" : request.authority().host();
        Optional<Route> route = currentConfig.findRoute(host, request.path() == null ? "" : request.path());
        if (route.isEmpty()) {
            LogEvent.CALL_REFUSED.logForCall(head.id(), "no-route", "not-run", host + request.path());
            localResponses.sendError(request, LocalResponses.NOT_FOUND, "no matching route");
            return;
        }
        if (!route.get().isServable()) {
            refuseBeforeForwarding(request, head, "the route has no service", NOT_READY_RETRY_AFTER_MILLIS);
            return;
        }
        CallAuthenticator.Result caller = authenticator.authenticate(currentConfig, route.get(), head.apiKey());
        if (caller.refusal().isPresent()) {
            refuse(request, head, caller.refusal().get());
            return;
        }
        QuotaReservation quota = quotas.reserve(caller.team(), head.tokenCount());
        quota.whenRefused(millis -> refuse(request, head, CallAuthenticator.Refusal.overLimit(millis)));
        if (!quota.isRefused()) {
            Arrival call = new Arrival(request, head, currentConfig, route.get(), caller.team(), quota, arrivalMillis);
            bodyReader.read(
                    request, currentConfig.limits().maxBodyBytes(), route.get().timeout(), new BodyListener(call));
        }
    }

    private void refuse(HttpServerRequest request, CallHead head, CallAuthenticator.Refusal refusal) {
        LogEvent.CALL_REFUSED.logForCall(head.id(), refusal.code(), "not-run", refusal.reason());
        if (refusal.retryAfterMillis() > 0) {
            localResponses.sendRetryable(request, refusal.status(), refusal.reason(), refusal.retryAfterMillis());
        } else {
            localResponses.sendError(request, refusal.status(), refusal.reason());
        }
    }

    private void forward(Arrival call, Buffer body, MemoryBudget.Reservation memory) {
        Route route = call.route;
        CallHead head = call.head;
        ServiceName service = route.selectService(random.getAsDouble());
        if (head.model().isPresent()
                && !isKnown(call.config, service, head.model().get())) {
            memory.release();
            call.quota.giveBack();
            refuseBeforeForwarding(
                    call.request,
                    head,
                    "service %s has no model %s".formatted(service, head.model().get()),
                    NOT_READY_RETRY_AFTER_MILLIS);
            return;
        }
        long timeoutMillis = Math.min(
                head.timeout().orElse(route.timeout()).toMillis(),
                route.timeout().toMillis());
        long firstEventTimeoutMillis =
                Math.min(timeoutMillis, route.maxCallerWait().toMillis());
        Exchange exchange = new Exchange(
                call.request,
                head,
                route,
                service,
                call.config.teams().isPresent(),
                call.team,
                body,
                memory,
                call.quota,
                call.arrivalMillis,
                call.arrivalMillis + timeoutMillis,
                call.arrivalMillis + firstEventTimeoutMillis);
        if (!shutdownAdmission.admits(exchange)) {
            memory.release();
            call.quota.giveBack();
            refuseBeforeForwarding(
                    call.request,
                    head,
                    "the call may not end before this entry shuts down",
                    LocalResponses.SHUTDOWN_RETRY_AFTER_MILLIS);
            return;
        }
        if (stallDetector.isStalled()) {
            afterPendingInput(() -> forwarder.accept(exchange));
        } else {
            forwarder.accept(exchange);
        }
    }

    /**
     * Runs an action after the event loop has read what its connections have received, such as the end of a connection
     * that its caller has closed. A timer runs after the input that was ready before; a second one is set only then, so
     * that the loop looks for new input in between.
     */
    private void afterPendingInput(Runnable action) {
        timers.schedule(SHORTEST_DELAY, () -> timers.schedule(SHORTEST_DELAY, action));
    }

    private static boolean isKnown(ServingConfig config, ServiceName service, ModelName model) {
        return config.findService(service)
                .flatMap(ServiceSpec::engine)
                .map(engine -> engine.models().containsKey(model))
                .orElse(true);
    }

    private void refuseBeforeForwarding(
            HttpServerRequest request, CallHead head, String reason, long retryAfterMillis) {
        LogEvent.CALL_REFUSED.logForCall(head.id(), "not-ready", "not-run", reason);
        localResponses.sendUnavailable(request, reason, retryAfterMillis);
    }

    /** A call that may be served once its body has arrived. */
    private record Arrival(
            HttpServerRequest request,
            CallHead head,
            ServingConfig config,
            Route route,
            Optional<Team> team,
            QuotaReservation quota,
            long arrivalMillis) {}

    /** Forwards a call whose body has arrived, or responds to one whose body has not. */
    private final class BodyListener implements BodyReader.Listener {

        private final Arrival call;

        BodyListener(Arrival call) {
            this.call = call;
        }

        @Override
        public void onComplete(Buffer body, MemoryBudget.Reservation memory) {
            if (call.quota.isRefused()) {
                memory.release();
                return;
            }
            call.quota.whenRefused(millis -> {
                memory.release();
                refuse(call.request, call.head, CallAuthenticator.Refusal.overLimit(millis));
            });
            call.quota.whenReserved(() -> forwardUnlessClosed(body, memory));
        }

        /** Forwards a call, unless its caller has disconnected while the call waited for tokens. */
        private void forwardUnlessClosed(Buffer body, MemoryBudget.Reservation memory) {
            if (call.request.response().closed()) {
                memory.release();
                call.quota.giveBack();
            } else {
                forward(call, body, memory);
            }
        }

        @Override
        public void onTooLong() {
            call.quota.giveBack();
            localResponses.sendError(
                    call.request,
                    LocalResponses.TOO_LARGE,
                    "the request body exceeds %d bytes"
                            .formatted(call.config.limits().maxBodyBytes()));
            call.request.connection().close();
        }

        @Override
        public void onNoMemory() {
            call.quota.giveBack();
            refuseBeforeForwarding(
                    call.request, call.head, "there is no memory for the request body", NO_MEMORY_RETRY_AFTER_MILLIS);
        }

        @Override
        public void onTimeout() {
            call.quota.giveBack();
            LogEvent.CALL_REFUSED.logForCall(
                    call.head.id(), "body-timeout", "not-run", "the request body is incomplete");
            localResponses.sendError(
                    call.request, LocalResponses.REQUEST_TIMEOUT, "the request body has not arrived in time");
        }

        @Override
        public void onDisconnected() {
            call.quota.giveBack();
        }
    }
}
