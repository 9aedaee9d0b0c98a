package org.tarragonring.upstream;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;

/**
 * Sends calls to upstreams and tells, when one fails, whether it may have run.
 *
 * @since 0.1.0
 */
public final class UpstreamClient {

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, not null
     */
    public UpstreamClient(HttpClient client) {
        this.client = Objects.requireNonNull(client, "client");
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @return the answer's head; fails with {@link CallException}, of verdict {@link Verdict#NOT_RUN} if no byte of
     *     the request left
     */
    public Future<UpstreamAnswer> send(UpstreamRequest request) {
        RequestOptions options = new RequestOptions()
                .setHost(request.address().host())
                .setPort(request.address().port())
                .setMethod(request.method())
                .setURI(request.path())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        return client.request(options)
                .recover(failure -> Future.failedFuture(failure(Verdict.NOT_RUN, request, failure)))
                .compose(connected -> send(request, connected));
    }

    private static Future<UpstreamAnswer> send(UpstreamRequest request, HttpClientRequest connected) {
        connected.headers().addAll(request.headers());
        connected.putHeader(UpstreamHeaders.CALL_ID, request.callId().value());
        return connected
                .send(request.body())
                .recover(failure -> Future.failedFuture(failure(Verdict.MAY_HAVE_RUN, request, failure)))
                .compose(response -> checked(request, response));
    }

    private static Future<UpstreamAnswer> checked(UpstreamRequest request, HttpClientResponse response) {
        String answered = response.getHeader(UpstreamHeaders.CALL_ID);
        if (request.callId().value().equals(answered)) {
            response.pause();
            return Future.succeededFuture(new UpstreamAnswer(response));
        }
        response.request().reset();
        return Future.failedFuture(new CallException(
                RefusalReason.UPSTREAM_BROKE_OFF,
                Verdict.MAY_HAVE_RUN,
                Duration.ZERO,
                "upstream at %s answered call \"%s\" instead of \"%s\""
                        .formatted(request.address(), answered, request.callId())));
    }

    private static CallException failure(Verdict verdict, UpstreamRequest request, Throwable failure) {
        RefusalReason reason =
                verdict == Verdict.NOT_RUN ? RefusalReason.UPSTREAM_UNAVAILABLE : RefusalReason.UPSTREAM_BROKE_OFF;
        return new CallException(
                reason,
                verdict,
                Duration.ZERO,
                "upstream at %s failed: %s".formatted(request.address(), failure.getMessage()));
    }
}
