package org.tarragonring.upstream;

/**
 * An engine's response to an order.
 *
 * @since 0.1.0
 */
public enum OrderOutcome {
    /** The engine accepted the order, or had accepted it before. */
    ACCEPTED,
    /** The order has an outdated fencing token. */
    STALE_FENCE,
    /** The accelerator has too little free memory. */
    NO_MEMORY,
    /** The engine is leaving or rejected the order for another reason. */
    REFUSED
}
