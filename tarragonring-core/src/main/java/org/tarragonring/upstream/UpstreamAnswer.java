package org.tarragonring.upstream;

import java.util.Objects;

import io.vertx.core.http.HttpClientResponse;
import org.tarragonring.errors.Verdict;

/**
 * The head of an upstream's answer; its body has not been read and stays paused until a reader asks for it.
 *
 * @param response the HTTP response, not null
 * @since 0.1.0
 */
public record UpstreamAnswer(HttpClientResponse response) {

    private static final int OK = 200;

    /** Checks the arguments. */
    public UpstreamAnswer {
        Objects.requireNonNull(response, "response");
    }

    /**
     * Returns the status.
     *
     * @return the HTTP status
     */
    public int status() {
        return response.statusCode();
    }

    /**
     * Checks if the upstream answers the request.
     *
     * @return true for status 200
     */
    public boolean isOk() {
        return status() == OK;
    }

    /**
     * Checks if the upstream says that it did not run the request.
     *
     * @return true if it does
     */
    public boolean isNotRun() {
        return Verdict.NOT_RUN.text().equals(response.getHeader(UpstreamHeaders.VERDICT));
    }

    /**
     * Checks if the upstream says that it does not hold the model or adapter asked for.
     *
     * @return true if it does
     */
    public boolean isNotLoaded() {
        return isNotRun() && status() == UpstreamHeaders.STATUS_NOT_LOADED;
    }

    /** Stops the request; the upstream may cancel its work. */
    public void cancel() {
        response.request().reset();
    }
}
