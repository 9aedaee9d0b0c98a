package org.tarragonring.operator;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import org.tarragonring.objects.Json;

/**
 * Serves the admin HTTP endpoints of a process: health, readiness, metrics and a dump of its state.
 *
 * @since 0.1.0
 */
public final class AdminHandler {

    private static final int STATUS_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final BooleanSupplier readiness;
    private final PrometheusMeterRegistry metrics;
    private final Supplier<Object> state;

    /**
     * Creates a handler.
     *
     * @param vertx the Vert.x instance that runs the router, not null
     * @param readiness returns whether the process is ready to serve calls, not null
     * @param metrics the registry of the metrics, not null
     * @param state returns the state of the process, which must be serializable to JSON, not null
     */
    public AdminHandler(
            Vertx vertx, BooleanSupplier readiness, PrometheusMeterRegistry metrics, Supplier<Object> state) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.readiness = Objects.requireNonNull(readiness, "readiness");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.state = Objects.requireNonNull(state, "state");
    }

    /**
     * Creates the router of the admin endpoints.
     *
     * @return a new router
     */
    public Router createRouter() {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(routing -> routing.end("ok\n"));
        router.get("/readyz").handler(routing -> {
            boolean isReady = readiness.getAsBoolean();
            routing.response().setStatusCode(isReady ? 200 : STATUS_UNAVAILABLE);
            routing.end(isReady ? "ready\n" : "not ready\n");
        });
        router.get("/metrics").handler(routing -> {
            routing.response().putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
            routing.end(metrics.scrape());
        });
        router.get("/dump").handler(routing -> {
            routing.response().putHeader("Content-Type", "application/json");
            routing.end(Buffer.buffer(Json.write(state.get())));
        });
        return router;
    }
}
