package org.tarragonring.objects;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.core.type.TypeReference;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;

/**
 * Reads the instance list over HTTP, and transfers it only when it has changed.
 *
 * @since 0.1.0
 */
public final class HttpInstanceList implements InstanceList {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final WebClient client;
    private final HostPort address;
    private final Duration timeout;
    private volatile int latestBytes;
    private volatile Listed latest = new Listed(null, List.of());

    /**
     * Creates a reader.
     *
     * @param client the HTTP client, not null
     * @param address where the platform listens, not null
     * @param timeout how long to wait for an answer, not null
     */
    public HttpInstanceList(WebClient client, HostPort address, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client");
        this.address = Objects.requireNonNull(address, "address");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
    }

    @Override
    public Uni<List<Instance>> read() {
        return Uni.createFrom()
                .completionStage(() -> request().send().toCompletionStage())
                .onFailure()
                .transform(HttpInstanceList::unavailable)
                .map(this::take);
    }

    @Override
    public int latestBytes() {
        return latestBytes;
    }

    private HttpRequest<Buffer> request() {
        HttpRequest<Buffer> request =
                client.get(address.port(), address.host(), "/instances").timeout(timeout.toMillis());
        Listed known = latest;
        if (known.tag != null) {
            request.putHeader("If-None-Match", known.tag);
        }
        return request;
    }

    private List<Instance> take(HttpResponse<Buffer> response) {
        if (response.statusCode() == NOT_MODIFIED) {
            latestBytes = 0;
            return latest.instances;
        }
        if (response.statusCode() != OK) {
            throw unavailable(new IOException("status " + response.statusCode()));
        }
        try {
            List<Instance> instances =
                    Json.MAPPER.readValue(response.bodyAsBuffer().getBytes(), new TypeReference<List<Instance>>() {});
            latestBytes = response.bodyAsBuffer().length();
            latest = new Listed(response.getHeader("ETag"), instances);
            return instances;
        } catch (IOException e) {
            throw new UncheckedIOException("the instance list is malformed", e);
        }
    }

    private record Listed(String tag, List<Instance> instances) {}

    private static StoreException unavailable(Throwable failure) {
        return new StoreException(
                StoreException.Kind.UNAVAILABLE, "the instance list was not read: " + failure.getMessage());
    }
}
