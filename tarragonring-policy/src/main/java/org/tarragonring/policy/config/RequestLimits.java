package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds what callers may send.
 *
 * @param maxHeaderBytes the longest header section
 * @param maxBodyBytes the longest body
 * @param headerTimeout the longest time from the first byte of a request to the end of its headers, not null
 * @param idleTimeout how long a connection may stay without a request, not null
 * @since 0.2.0
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits until a configuration tells others. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the arguments. */
    public RequestLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
