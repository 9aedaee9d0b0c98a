package org.tarragonring.upstream;

import io.smallrye.mutiny.Uni;

/**
 * Reads one model engine's state and gives it orders.
 *
 * @since 0.1.0
 */
public interface Engine {

    /**
     * Reads the engine's own report.
     *
     * @return the report; fails if the engine cannot be reached
     */
    Uni<EngineStatus> status();

    /**
     * Gives an order. Orders are idempotent by slot.
     *
     * @param order the order, not null
     * @return what the engine said; fails if the answer was lost, in which case the order may have been taken
     */
    Uni<OrderOutcome> order(EngineOrder order);
}
