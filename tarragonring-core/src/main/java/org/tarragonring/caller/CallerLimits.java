package org.tarragonring.caller;

import java.time.Duration;

/**
 * Limits of callers' connections and requests.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxHeaderBytes the maximum total size of a request's headers, in bytes
 * @param maxConnections the maximum number of concurrent connections
 * @param requestTimeout the time within which a complete request must arrive, not null
 * @param tokenTimeout the maximum time without a token in a stream before its upstream is considered failed;
 *     not null
 * @param resolveCacheTtl how long callers may cache the response of {@code /v1/resolve}, not null
 * @since 0.1.0
 */
public record CallerLimits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxConnections,
        Duration requestTimeout,
        Duration tokenTimeout,
        Duration resolveCacheTtl) {}
