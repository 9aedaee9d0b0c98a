package org.tarragonring.upstream;

import java.util.Objects;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;

/**
 * Decides what counts as a final HTTP response and how its end is marked.
 *
 * @since 0.2.0
 */
public final class ResponseFraming {

    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_FINAL_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private ResponseFraming() {}

    /**
     * Checks whether a status code is one of a final response. Others, such as 0, are sent by servers in trouble, and
     * callers would take them for a response.
     *
     * @param status the status code
     * @return true for 200 to 599
     */
    public static boolean isFinalStatus(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_FINAL_STATUS;
    }

    /**
     * Checks whether only the end of its connection marks the end of a response. A server that fails before it has read
     * the request ends such a response as well, and the reset that would tell may come later: the response is complete only
     * if the request had been sent whole by then.
     *
     * @param status the status code
     * @param headers the headers of the response, not null
     * @return true if the response has a body with neither a length nor chunks
     */
    public static boolean isDelimitedByClose(int status, MultiMap headers) {
        Objects.requireNonNull(headers, "headers");
        return status != NO_CONTENT
                && status != NOT_MODIFIED
                && !headers.contains(HttpHeaders.CONTENT_LENGTH)
                && !headers.contains(HttpHeaders.TRANSFER_ENCODING);
    }
}
