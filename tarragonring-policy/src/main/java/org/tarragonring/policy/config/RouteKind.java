package org.tarragonring.policy.config;

/**
 * The kind of a route's calls: whether they may run more than once, and the form of the response.
 *
 * @since 0.2.0
 */
public enum RouteKind {
    /** Idempotent calls, which may run more than once; the response is a single body. */
    IDEMPOTENT,
    /** Calls that run at most once; the response is a single body. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; calls may run again only if the route is resumable. */
    STREAM
}
