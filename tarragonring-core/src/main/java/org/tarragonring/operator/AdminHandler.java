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
 * Takes operators' requests to one process: health, readiness, metrics and a dump of its whole state.
 *
 * @since 0.1.0
 */
public final class AdminHandler {

    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final BooleanSupplier ready;
    private final PrometheusMeterRegistry metrics;
    private final Supplier<Object> state;

    /**
     * Creates a handler.
     *
     * @param vertx runs the handler, not null
     * @param ready says if the process may serve, not null
     * @param metrics the metrics, not null
     * @param state describes the process as a value that JSON can hold, not null
     */
    public AdminHandler(Vertx vertx, BooleanSupplier ready, PrometheusMeterRegistry metrics, Supplier<Object> state) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.ready = Objects.requireNonNull(ready, "ready");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.state = Objects.requireNonNull(state, "state");
    }

    /**
     * Makes the router of operators' requests.
     *
     * @return a new router
     */
    public Router router() {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(routing -> routing.end("ok\n"));
        router.get("/readyz").handler(routing -> {
            boolean isReady = ready.getAsBoolean();
            routing.response().setStatusCode(isReady ? 200 : UNAVAILABLE);
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
