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
 * Reads the platform's instance list over HTTP. Sends the ETag of the last list read, so that the platform transfers
 * the list again only after it has changed.
 *
 * @since 0.1.0
 */
public final class HttpInstanceList implements InstanceList {

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final WebClient client;
    private final HostPort address;
    private final Duration timeout;
    private volatile int lastReadBytes;
    private volatile CachedList cached = new CachedList(null, List.of());

    /**
     * Creates a reader.
     *
     * @param client the HTTP client, not null
     * @param address the platform's address, not null
     * @param timeout the maximum time to wait for a response, not null
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
                .map(this::parseResponse);
    }

    @Override
    public int lastReadBytes() {
        return lastReadBytes;
    }

    private HttpRequest<Buffer> request() {
        HttpRequest<Buffer> request =
                client.get(address.port(), address.host(), "/instances").timeout(timeout.toMillis());
        CachedList previous = cached;
        if (previous.etag != null) {
            request.putHeader("If-None-Match", previous.etag);
        }
        return request;
    }

    private List<Instance> parseResponse(HttpResponse<Buffer> response) {
        if (response.statusCode() == STATUS_NOT_MODIFIED) {
            lastReadBytes = 0;
            return cached.instances;
        }
        if (response.statusCode() != STATUS_OK) {
            throw unavailable(
                    new IOException("received HTTP status %d, expected 200 or 304".formatted(response.statusCode())));
        }
        try {
            List<Instance> instances =
                    Json.MAPPER.readValue(response.bodyAsBuffer().getBytes(), new TypeReference<List<Instance>>() {});
            lastReadBytes = response.bodyAsBuffer().length();
            cached = new CachedList(response.getHeader("ETag"), instances);
            return instances;
        } catch (IOException e) {
            throw new UncheckedIOException("instance list is not valid JSON", e);
        }
    }

    private record CachedList(String etag, List<Instance> instances) {}

    private static StoreException unavailable(Throwable failure) {
        return new StoreException(
                StoreException.Kind.UNAVAILABLE, "instance list could not be read: " + failure.getMessage());
    }
}
