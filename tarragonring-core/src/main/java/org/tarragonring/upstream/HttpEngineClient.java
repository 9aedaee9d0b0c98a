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
 * Communicates with a model engine over HTTP.
 *
 * @since 0.1.0
 */
public final class HttpEngineClient implements EngineClient {

    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_INSUFFICIENT_STORAGE = 507;

    private final WebClient client;
    private final HostPort address;
    private final Duration timeout;

    /**
     * Creates a client of an engine.
     *
     * @param client the HTTP client, not null
     * @param address the engine's address, not null
     * @param timeout the time to wait for a response, not null
     */
    public HttpEngineClient(WebClient client, HostPort address, Duration timeout) {
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
                    if (response.statusCode() != STATUS_OK) {
                        throw new UncheckedIOException(
                                new IOException("engine at %s responded with status %d, expected 200"
                                        .formatted(address, response.statusCode())));
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
                .map(HttpEngineClient::outcome);
    }

    private static OrderOutcome outcome(HttpResponse<Buffer> response) {
        return switch (response.statusCode()) {
            case STATUS_OK -> OrderOutcome.ACCEPTED;
            case STATUS_CONFLICT -> OrderOutcome.STALE_FENCE;
            case STATUS_INSUFFICIENT_STORAGE -> OrderOutcome.NO_MEMORY;
            default -> OrderOutcome.REFUSED;
        };
    }
}
