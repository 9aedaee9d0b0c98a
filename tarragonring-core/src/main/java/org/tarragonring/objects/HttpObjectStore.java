package org.tarragonring.objects;

import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;

/**
 * Accesses the platform's object store over HTTP.
 *
 * <p>Its watches report no deletions.
 *
 * @since 0.1.0
 */
public final class HttpObjectStore implements ObjectStore {

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String VERSION_HEADER = "ETag";

    private final WebClient client;
    private final HostPort address;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, not null
     * @param address the platform's address, not null
     * @param timeout the maximum time to wait for a response, not null
     */
    public HttpObjectStore(WebClient client, HostPort address, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client");
        this.address = Objects.requireNonNull(address, "address");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return send(request(HttpMethod.GET, path(key)), null, StoreException.Kind.UNAVAILABLE, key)
                .map(response -> {
                    if (response.statusCode() == STATUS_NOT_FOUND) {
                        return Optional.empty();
                    }
                    requireOk(response, key, StoreException.Kind.UNAVAILABLE);
                    return Optional.of(new StoredObject(key, version(response), bytes(response)));
                });
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return send(
                        request(HttpMethod.GET, "/objects?prefix=" + encode(prefix)),
                        null,
                        StoreException.Kind.UNAVAILABLE,
                        prefix)
                .map(response -> {
                    requireOk(response, prefix, StoreException.Kind.UNAVAILABLE);
                    return parseObjects(
                            Json.read(bytes(response), JsonNode.class).path("objects"));
                });
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        HttpRequest<Buffer> request = request(HttpMethod.PUT, path(key));
        request.putHeader("If-Match", Long.toString(expectedVersion));
        return send(request, Buffer.buffer(value), StoreException.Kind.AMBIGUOUS, key)
                .map(response -> {
                    requireOk(response, key, StoreException.Kind.AMBIGUOUS);
                    return version(response);
                });
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        HttpRequest<Buffer> request = request(HttpMethod.DELETE, path(key));
        request.putHeader("If-Match", Long.toString(expectedVersion));
        return send(request, null, StoreException.Kind.AMBIGUOUS, key)
                .invoke(response -> requireOk(response, key, StoreException.Kind.AMBIGUOUS))
                .replaceWithVoid();
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        String path =
                "/watch?prefix=%s&after=%d&waitMillis=%d".formatted(encode(prefix), afterRevision, wait.toMillis());
        HttpRequest<Buffer> request =
                request(HttpMethod.GET, path).timeout(timeout.plus(wait).toMillis());
        return send(request, null, StoreException.Kind.UNAVAILABLE, prefix).map(response -> {
            requireOk(response, prefix, StoreException.Kind.UNAVAILABLE);
            JsonNode body = Json.read(bytes(response), JsonNode.class);
            return new WatchBatch(body.path("revision").asLong(), parseObjects(body.path("objects")));
        });
    }

    private HttpRequest<Buffer> request(HttpMethod method, String path) {
        return client.request(method, address.port(), address.host(), path).timeout(timeout.toMillis());
    }

    private Uni<HttpResponse<Buffer>> send(
            HttpRequest<Buffer> request, Buffer body, StoreException.Kind kindIfResponseLost, String key) {
        return Uni.createFrom()
                .completionStage(() -> (body == null ? request.send() : request.sendBuffer(body)).toCompletionStage())
                .onFailure()
                .transform(failure -> {
                    StoreException.Kind kind =
                            failure instanceof ConnectException ? StoreException.Kind.UNAVAILABLE : kindIfResponseLost;
                    return new StoreException(
                            kind, "store request for \"%s\" failed: %s".formatted(key, failure.getMessage()));
                });
    }

    private static void requireOk(HttpResponse<Buffer> response, String key, StoreException.Kind kindOfOtherStatus) {
        int status = response.statusCode();
        if (status == STATUS_OK) {
            return;
        }
        StoreException.Kind kind = switch (status) {
            case STATUS_PRECONDITION_FAILED -> StoreException.Kind.CONFLICT;
            case STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE -> StoreException.Kind.UNAVAILABLE;
            default -> kindOfOtherStatus;
        };
        throw new StoreException(
                kind, "store request for \"%s\" returned HTTP status %d, expected 200".formatted(key, status));
    }

    private static long version(HttpResponse<Buffer> response) {
        return Long.parseLong(response.getHeader(VERSION_HEADER));
    }

    private static byte[] bytes(HttpResponse<Buffer> response) {
        Buffer body = response.bodyAsBuffer();
        return body == null ? new byte[0] : body.getBytes();
    }

    private static List<StoredObject> parseObjects(JsonNode nodes) {
        List<StoredObject> parsed = new ArrayList<>();
        for (JsonNode node : nodes) {
            byte[] value = Base64.getDecoder().decode(node.path("value").asText());
            parsed.add(new StoredObject(
                    node.path("key").asText(), node.path("version").asLong(), value));
        }
        return parsed;
    }

    private static String path(String key) {
        return "/objects/" + encode(key);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
