package org.tarragonring.upstream;

import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.tarragonring.errors.Verdict;

/**
 * The status and headers of an upstream's response. The body has not been read; it is paused until a reader resumes it.
 *
 * @param response the HTTP response, not null
 * @param brokenOff fails if the response breaks off before a reader is set, not null
 * @param requestSent completes when the whole request was written to the connection, not null
 * @since 0.1.0
 */
public record UpstreamResponse(HttpClientResponse response, Future<Void> brokenOff, Future<Void> requestSent) {

    private static final int STATUS_OK = 200;

    /** Rejects null components. */
    public UpstreamResponse {
        Objects.requireNonNull(response, "response");
        Objects.requireNonNull(brokenOff, "brokenOff");
        Objects.requireNonNull(requestSent, "requestSent");
    }

    /**
     * Pauses a response until it gets a reader.
     *
     * @param response a response of which nothing has been read, not null
     * @param requestSent completes when the whole request was written to the connection, not null
     * @return the response
     */
    static UpstreamResponse paused(HttpClientResponse response, Future<Void> requestSent) {
        response.pause();
        Promise<Void> brokenOff = Promise.promise();
        response.exceptionHandler(brokenOff::tryFail);
        return new UpstreamResponse(response, brokenOff.future(), requestSent);
    }

    /**
     * Reads the body.
     *
     * @return the whole body; fails if the response breaks off, or has broken off already
     */
    public Future<Buffer> readBody() {
        Promise<Buffer> body = Promise.promise();
        brokenOff.onFailure(body::tryFail);
        response.body().onSuccess(bytes -> onEnd(bytes, body)).onFailure(body::tryFail);
        response.resume();
        return body.future();
    }

    private void onEnd(Buffer bytes, Promise<Buffer> body) {
        boolean isEndUncertain =
                !requestSent.succeeded() && ResponseFraming.isDelimitedByClose(status(), response.headers());
        if (isEndUncertain) {
            body.tryFail("the connection ended before the request was sent");
        } else {
            body.tryComplete(bytes);
        }
    }

    /**
     * Returns the status code.
     *
     * @return the HTTP status code
     */
    public int status() {
        return response.statusCode();
    }

    /**
     * Checks whether the upstream accepted the request.
     *
     * @return true for status 200
     */
    public boolean isOk() {
        return status() == STATUS_OK;
    }

    /**
     * Checks whether the upstream accepted the request and sends events.
     *
     * @return true for status 200 and the type of server-sent events
     */
    public boolean isEventStream() {
        return isOk() && MediaTypes.of(response.headers()).equals(MediaTypes.EVENT_STREAM);
    }

    /**
     * Checks whether the upstream states that it did not run the request.
     *
     * @return true if its verdict is {@link Verdict#NOT_RUN}
     */
    public boolean isNotRun() {
        return Verdict.NOT_RUN.text().equals(response.getHeader(UpstreamHeaders.VERDICT));
    }

    /**
     * Checks whether the upstream refused the request because the requested model or adapter is not loaded.
     *
     * @return true if its verdict is {@link Verdict#NOT_RUN} and its status
     *     {@value UpstreamHeaders#STATUS_NOT_LOADED}
     */
    public boolean isNotLoaded() {
        return isNotRun() && status() == UpstreamHeaders.STATUS_NOT_LOADED;
    }

    /** Resets the request's stream or connection; the upstream may then cancel its work. */
    public void cancel() {
        response.request().reset();
    }
}
