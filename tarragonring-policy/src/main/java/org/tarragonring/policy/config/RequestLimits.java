package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits for requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the header section
 * @param maxBodyBytes the maximum size of the request body
 * @param headerTimeout the maximum time from the first byte of a request to the end of its headers, not null
 * @param idleTimeout the maximum time that a connection may stay open without a request, not null
 * @since 0.2.0
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits that apply until a configuration sets others. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the arguments. */
    public RequestLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
