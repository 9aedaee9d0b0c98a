package org.tarragonring.upstream;

/**
 * Says what an engine did with an order.
 *
 * @since 0.1.0
 */
public enum OrderOutcome {
    /** The engine took the order, or had taken it before. */
    ACCEPTED,
    /** The order carried an old fencing number. */
    STALE_FENCE,
    /** The accelerator has no room. */
    NO_MEMORY,
    /** The engine is leaving or refuses for another reason. */
    REFUSED
}
