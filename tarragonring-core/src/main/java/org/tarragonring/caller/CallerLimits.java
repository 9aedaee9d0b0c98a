package org.tarragonring.caller;

import java.time.Duration;

/**
 * Bounds of callers' requests.
 *
 * @param maxBodyBytes the longest body
 * @param maxHeaderBytes the most bytes of headers
 * @param maxConnections the most connections at once
 * @param requestTimeout how long a request may take to arrive, not null
 * @param tokenTimeout the longest pause within a stream before its upstream counts as dead, not null
 * @param resolveKeep how long callers may keep a resolve answer, not null
 * @since 0.1.0
 */
public record CallerLimits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxConnections,
        Duration requestTimeout,
        Duration tokenTimeout,
        Duration resolveKeep) {}
