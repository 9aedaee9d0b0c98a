package org.tarragonring.upstream;

import io.smallrye.mutiny.Uni;

/**
 * Reads the status of one model engine and sends it orders.
 *
 * @since 0.1.0
 */
public interface EngineClient {

    /**
     * Reads the engine's status.
     *
     * @return the status as the engine reports it; fails if the engine cannot be reached
     */
    Uni<EngineStatus> status();

    /**
     * Sends an order. An order can be sent again safely: orders are idempotent per slot.
     *
     * @param order the order, not null
     * @return the outcome; fails if no response was received, in which case the engine may have accepted the order
     */
    Uni<OrderOutcome> order(EngineOrder order);
}
