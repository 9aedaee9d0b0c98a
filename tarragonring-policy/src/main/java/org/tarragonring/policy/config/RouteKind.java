package org.tarragonring.policy.config;

/**
 * Says how often a call may run and how it is answered.
 *
 * @since 0.2.0
 */
public enum RouteKind {
    /** Idempotent, answered by one body. */
    IDEMPOTENT,
    /** Runs once at most, answered by one body. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events. */
    STREAM
}
