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
 * Serves a stand-in for a plain service over HTTP and counts how often it ran each idempotency key; GET requests are
 * not counted.
 *
 * @since 0.1.0
 */
public final class ServiceServer {

    private final Vertx vertx;
    private final Map<String, AtomicInteger> runsByKey;
    private final AtomicInteger responsesToLose = new AtomicInteger();
    private final Duration processingTime;
    private HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server, not null
     * @param runsByKey the number of runs by idempotency key, shared by all instances of the service; not null
     * @param processingTime the time that each request takes, not null
     */
    public ServiceServer(Vertx vertx, Map<String, AtomicInteger> runsByKey, Duration processingTime) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.runsByKey = Objects.requireNonNull(runsByKey, "runsByKey");
        this.processingTime = Objects.requireNonNull(processingTime, "processingTime");
    }

    /**
     * Creates run counters to share between the instances of a service.
     *
     * @return an empty concurrent map from idempotency key to number of runs, never null
     */
    public static Map<String, AtomicInteger> newRunCounters() {
        return new ConcurrentHashMap<>();
    }

    /**
     * Starts listening.
     *
     * @param listenAddress the address to bind, not null; port 0 chooses a free port
     * @return completes with the bound address
     */
    public Future<HostPort> start(HostPort listenAddress) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.route().handler(this::handle);
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(listenAddress.port(), listenAddress.host())
                .map(listening -> {
                    server = listening;
                    return new HostPort(listenAddress.host(), listening.actualPort());
                });
    }

    /**
     * Closes all connections and stops listening.
     *
     * @return completes when the port is closed; already completed if the server was never started
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Closes the connection instead of responding to each of the next requests. The requests are still executed.
     *
     * @param count the number of requests that get no response
     */
    public void loseResponses(int count) {
        responsesToLose.set(count);
    }

    private void handle(RoutingContext routing) {
        String key = routing.request().getHeader("Idempotency-Key");
        boolean counted = key != null && routing.request().method() != HttpMethod.GET;
        int run = counted
                ? runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet()
                : 0;
        vertx.setTimer(Math.max(1, processingTime.toMillis()), id -> {
            if (responsesToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
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
