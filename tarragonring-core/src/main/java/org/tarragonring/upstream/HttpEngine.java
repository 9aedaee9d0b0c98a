package org.tarragonring.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.Json;

/**
 * Reaches a model engine over HTTP.
 *
 * @since 0.1.0
 */
public final class HttpEngine implements Engine {

    private static final int OK = 200;
    private static final int STALE = 409;
    private static final int NO_MEMORY = 507;

    private final WebClient client;
    private final HostPort address;
    private final Duration timeout;

    /**
     * Creates a client of one engine.
     *
     * @param client the HTTP client, not null
     * @param address where the engine listens, not null
     * @param timeout how long to wait for an answer, not null
     */
    public HttpEngine(WebClient client, HostPort address, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client");
        this.address = Objects.requireNonNull(address, "address");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
    }

    @Override
    public Uni<EngineStatus> status() {
        return Uni.createFrom()
                .completionStage(() -> client.get(address.port(), address.host(), "/status")
                        .timeout(timeout.toMillis())
                        .send()
                        .toCompletionStage())
                .map(response -> {
                    if (response.statusCode() != OK) {
                        throw new UncheckedIOException(new IOException(
                                "engine %s answers status %d".formatted(address, response.statusCode())));
                    }
                    return Json.read(response.bodyAsBuffer().getBytes(), EngineStatus.class);
                });
    }

    @Override
    public Uni<OrderOutcome> order(EngineOrder order) {
        return Uni.createFrom()
                .completionStage(() -> client.post(address.port(), address.host(), "/orders")
                        .timeout(timeout.toMillis())
                        .putHeader("Content-Type", "application/json")
                        .sendBuffer(Buffer.buffer(Json.write(order)))
                        .toCompletionStage())
                .map(HttpEngine::outcome);
    }

    private static OrderOutcome outcome(HttpResponse<Buffer> response) {
        return switch (response.statusCode()) {
            case OK -> OrderOutcome.ACCEPTED;
            case STALE -> OrderOutcome.STALE_FENCE;
            case NO_MEMORY -> OrderOutcome.NO_MEMORY;
            default -> OrderOutcome.REFUSED;
        };
    }
}
