package org.tarragonring.standin.service;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.tarragonring.ids.HostPort;
import org.tarragonring.upstream.UpstreamHeaders;

/**
 * Serves a plain service that counts how often each idempotency key ran.
 *
 * @since 0.1.0
 */
public final class ServiceServer {

    private final Vertx vertx;
    private final Map<String, AtomicInteger> runs;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final Duration runTime;
    private HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs the server, not null
     * @param runs counts runs by idempotency key, shared by all instances of the service; not null
     * @param runTime how long a run takes, not null
     */
    public ServiceServer(Vertx vertx, Map<String, AtomicInteger> runs, Duration runTime) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.runs = Objects.requireNonNull(runs, "runs");
        this.runTime = Objects.requireNonNull(runTime, "runTime");
    }

    /**
     * Creates a counter of runs.
     *
     * @return an empty concurrent map
     */
    public static Map<String, AtomicInteger> noRuns() {
        return new ConcurrentHashMap<>();
    }

    /**
     * Starts listening.
     *
     * @param address where, not null; port 0 takes any
     * @return completes with the address in use
     */
    public Future<HostPort> start(HostPort address) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.route().handler(this::run);
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(address.port(), address.host())
                .map(listening -> {
                    server = listening;
                    return new HostPort(address.host(), listening.actualPort());
                });
    }

    /**
     * Cuts every connection and stops listening.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Loses the answers of the next runs.
     *
     * @param count how many
     */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    private void run(RoutingContext routing) {
        String key = routing.request().getHeader("Idempotency-Key");
        boolean counts = key != null && routing.request().method() != HttpMethod.GET;
        int run = counts ? runs.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet() : 0;
        vertx.setTimer(Math.max(1, runTime.toMillis()), id -> {
            if (answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                routing.request().connection().close();
                return;
            }
            String callId = routing.request().getHeader(UpstreamHeaders.CALL_ID);
            routing.response().putHeader(UpstreamHeaders.CALL_ID, String.valueOf(callId));
            routing.json(new JsonObject()
                    .put("path", routing.request().path())
                    .put("key", key)
                    .put("run", run));
        });
    }
}
