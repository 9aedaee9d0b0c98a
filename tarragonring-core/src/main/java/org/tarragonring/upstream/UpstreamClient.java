package org.tarragonring.upstream;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;

/**
 * Sends calls to upstreams. The exception of a failed call states whether the call may have run.
 *
 * <p>Each attempt has a connection of its own, so that nothing an upstream writes once more, such as the refusal of an
 * earlier attempt, can be taken for its response.
 *
 * @since 0.1.0
 */
public final class UpstreamClient {

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 512;

    /** Keeps the system from accepting a whole large request of which the upstream has read nothing. */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    private final HttpClient client;

    private UpstreamClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client of all upstreams.
     *
     * @param vertx the Vert.x instance that runs the client, not null
     * @return the client
     */
    public static UpstreamClient create(Vertx vertx) {
        Objects.requireNonNull(vertx, "vertx");
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM);
        return new UpstreamClient(vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setSendBufferSize(SEND_BUFFER_BYTES), pool));
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @return the response, whose body is paused; fails with a {@link CallException}, whose verdict is
     *     {@link Verdict#NOT_RUN} if no byte of the request was sent and {@link Verdict#MAY_HAVE_RUN} otherwise
     */
    public Future<UpstreamResponse> send(UpstreamRequest request) {
        RequestOptions options = new RequestOptions()
                .setHost(request.address().host())
                .setPort(request.address().port())
                .setMethod(request.method())
                .setURI(request.path())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        return client.request(options)
                .recover(failure -> Future.failedFuture(callException(Verdict.NOT_RUN, request, failure)))
                .compose(httpRequest -> send(request, httpRequest));
    }

    private static Future<UpstreamResponse> send(UpstreamRequest request, HttpClientRequest httpRequest) {
        httpRequest.headers().addAll(request.headers());
        httpRequest.putHeader(UpstreamHeaders.CALL_ID, request.callId().value());
        Future<HttpClientResponse> responded = httpRequest.response();
        Future<Void> requestSent = httpRequest.end(request.body());
        return responded
                .recover(failure -> Future.failedFuture(callException(Verdict.MAY_HAVE_RUN, request, failure)))
                .compose(response -> verify(request, response, requestSent));
    }

    private static Future<UpstreamResponse> verify(
            UpstreamRequest request, HttpClientResponse response, Future<Void> requestSent) {
        if (!ResponseFraming.isFinalStatus(response.statusCode())) {
            return reject(
                    response,
                    "upstream at %s sent %d, which is no status".formatted(request.address(), response.statusCode()));
        }
        String returnedCallId = response.getHeader(UpstreamHeaders.CALL_ID);
        if (!request.callId().value().equals(returnedCallId)) {
            return reject(
                    response,
                    "upstream at %s returned call id \"%s\", expected \"%s\""
                            .formatted(request.address(), returnedCallId, request.callId()));
        }
        return Future.succeededFuture(UpstreamResponse.paused(response, requestSent));
    }

    private static Future<UpstreamResponse> reject(HttpClientResponse response, String message) {
        response.request().reset();
        return Future.failedFuture(
                new CallException(RefusalReason.UPSTREAM_BROKE_OFF, Verdict.MAY_HAVE_RUN, Duration.ZERO, message));
    }

    private static CallException callException(Verdict verdict, UpstreamRequest request, Throwable cause) {
        RefusalReason reason =
                verdict == Verdict.NOT_RUN ? RefusalReason.UPSTREAM_UNAVAILABLE : RefusalReason.UPSTREAM_BROKE_OFF;
        return new CallException(
                reason,
                verdict,
                Duration.ZERO,
                "request to upstream at %s failed: %s".formatted(request.address(), cause.getMessage()));
    }
}
