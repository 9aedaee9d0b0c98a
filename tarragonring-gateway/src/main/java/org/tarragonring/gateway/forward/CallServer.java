package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.orders.LoadRequestRouter;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.budget.RetryBudgets;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.ServiceSpec;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.routing.ReplicaPicker;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Takes calls from callers: finds their route, reads their body and hands them to the forwarder.
 *
 * @since 0.2.0
 */
public final class CallServer {

    /** A connection to a replica that takes longer is given up; nothing was sent on it. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** The most connections to one replica; replicas bound them too. */
    private static final int MAX_CONNECTIONS_PER_REPLICA = 200;

    /** Callers may use connections up to the configured idle time, so they are kept a little longer. */
    private static final int IDLE_MARGIN_SECONDS = 10;

    private static final long RETRY_AFTER_NOT_READY_MILLIS = 500;

    private final Vertx vertx;
    private final HostPort address;
    private final CallCodec codec;
    private final Supplier<Optional<ServingConfig>> config;
    private final BooleanSupplier ready;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final Answers answers;
    private final Forwarder forwarder;
    private final DemandReporter reporter;
    private HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context what the server works with, not null
     * @param config the configuration in force, not null
     * @param ready tells whether calls can be served, not null
     * @param leaving tells whether this entry is leaving, not null
     * @param budgets the budget of repeats of each service, not null
     * @param loadRouter takes requests for adapters, not null
     */
    public CallServer(
            Context context,
            Supplier<Optional<ServingConfig>> config,
            BooleanSupplier ready,
            BooleanSupplier leaving,
            RetryBudgets budgets,
            LoadRequestRouter loadRouter) {
        this.vertx = context.vertx;
        this.address = context.address;
        this.codec = context.codec;
        this.config = Objects.requireNonNull(config, "config");
        this.ready = Objects.requireNonNull(ready, "ready");
        this.clock = context.clock;
        this.random = context.random;
        this.answers = new Answers(leaving);
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(false)
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setDecompressionSupported(false);
        this.forwarder = new Forwarder(
                codec,
                context.catalog,
                new ReplicaPicker(context.failureDomain, random),
                context.ejections,
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_REPLICA)),
                budgets,
                clock,
                context.timers,
                answers,
                context.metrics);
        this.reporter = new DemandReporter(forwarder, context.catalog, loadRouter, context.mesh, clock, context.timers);
        context.catalog.addChangeListener(forwarder::retryWaiting);
        context.metrics.gauge("tarragonring.calls.in.flight", forwarder::inFlight);
        context.metrics.gauge(
                "tarragonring.calls.waiting", () -> forwarder.waiting().size());
    }

    /**
     * Starts to listen.
     *
     * @return completes when callers can connect
     */
    public CompletableFuture<Void> start() {
        RequestLimits limits = RequestLimits.DEFAULT;
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setIdleTimeout((int) limits.idleTimeout().toSeconds() + IDLE_MARGIN_SECONDS);
        server = vertx.createHttpServer(options).requestHandler(this::onRequest);
        reporter.start();
        return server.listen(address.port(), address.host())
                .<Void>mapEmpty()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /**
     * Stops listening and closes the connections that are left.
     *
     * @return completes when nothing is open
     */
    public CompletableFuture<Void> stop() {
        reporter.stop();
        return server.close().toCompletionStage().toCompletableFuture();
    }

    /** Refuses the calls that wait for a load; those on replicas go on. */
    public void leave() {
        forwarder.leave();
    }

    /**
     * Returns the number of calls that have not ended.
     *
     * @return a count
     */
    public int inFlight() {
        return forwarder.inFlight();
    }

    private void onRequest(HttpServerRequest request) {
        long arrivedMillis = clock.millis();
        CallHead head;
        try {
            head = codec.decode(request.headers());
        } catch (IllegalArgumentException e) {
            LogEvent.CALL_REFUSED.log("malformed", "not-run", e.getMessage());
            answers.fail(request, Answers.BAD_REQUEST, e.getMessage());
            return;
        }
        if (config.get().isEmpty() || !ready.getAsBoolean()) {
            refuseEarly(request, head, "this entry is not ready");
            return;
        }
        ServingConfig inForce = config.get().get();
        String host = request.authority() == null ? "" : request.authority().host();
        Optional<Route> route = inForce.findRoute(host, request.path() == null ? "" : request.path());
        if (route.isEmpty()) {
            LogEvent.CALL_REFUSED.logForCall(head.id(), "no-route", "not-run", host + request.path());
            answers.fail(request, Answers.NOT_FOUND, "no route matches");
            return;
        }
        readBody(request, inForce.limits().maxBodyBytes(), body -> {
            ServiceName service = route.get().selectService(random.getAsDouble());
            if (head.model().isPresent()
                    && !isKnown(inForce, service, head.model().get())) {
                refuseEarly(
                        request,
                        head,
                        "service %s has no model %s"
                                .formatted(service, head.model().get()));
                return;
            }
            long keptMillis = Math.min(
                    head.deadline().orElse(route.get().timeout()).toMillis(),
                    route.get().timeout().toMillis());
            long patienceMillis =
                    Math.min(keptMillis, route.get().maxCallerWait().toMillis());
            forwarder.accept(new Exchange(
                    request,
                    head,
                    route.get(),
                    service,
                    body,
                    arrivedMillis,
                    arrivedMillis + keptMillis,
                    arrivedMillis + patienceMillis));
        });
    }

    private static boolean isKnown(ServingConfig config, ServiceName service, ModelName model) {
        return config.findService(service)
                .flatMap(ServiceSpec::engine)
                .map(engine -> engine.models().containsKey(model))
                .orElse(true);
    }

    private void refuseEarly(HttpServerRequest request, CallHead head, String reason) {
        LogEvent.CALL_REFUSED.logForCall(head.id(), "not-ready", "not-run", reason);
        answers.refuse(request, reason, RETRY_AFTER_NOT_READY_MILLIS);
    }

    private void readBody(HttpServerRequest request, int maxBytes, Consumer<Buffer> next) {
        Buffer body = Buffer.buffer();
        request.handler(bytes -> {
            body.appendBuffer(bytes);
            if (body.length() > maxBytes) {
                request.handler(null);
                request.endHandler(null);
                answers.fail(request, Answers.TOO_LARGE, "the body is longer than %d bytes".formatted(maxBytes));
                request.connection().close();
            }
        });
        request.endHandler(end -> next.accept(body));
    }

    /**
     * What a call server works with.
     *
     * @param vertx runs the server, not null
     * @param address where to listen, not null
     * @param failureDomain this entry's failure domain, not null
     * @param codec knows the headers, not null
     * @param catalog the replicas, not null
     * @param ejections tells which replicas fail, not null
     * @param mesh the other entries, not null
     * @param clock the monotonic clock, not null
     * @param timers runs time-outs, not null
     * @param random gives numbers from 0 to 1, not null
     * @param metrics counts calls, not null
     */
    public record Context(
            Vertx vertx,
            HostPort address,
            String failureDomain,
            CallCodec codec,
            ReplicaCatalog catalog,
            Ejections ejections,
            Mesh mesh,
            MonotonicClock clock,
            Timers timers,
            DoubleSupplier random,
            GatewayMetrics metrics) {}
}
