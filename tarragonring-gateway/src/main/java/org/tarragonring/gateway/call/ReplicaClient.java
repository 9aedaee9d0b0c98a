package org.tarragonring.gateway.call;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;

/**
 * Client of the control interface of replicas: queries their state and sends load and unload orders.
 *
 * @since 0.2.0
 */
public interface ReplicaClient {

    /**
     * Sets the receiver of announcements that a replica is about to shut down.
     *
     * @param listener receives the replica after each response that announces it, not null
     */
    void onLeaving(Consumer<ListedReplica> listener);

    /**
     * Queries the state of a replica.
     *
     * @param replica the replica, not null
     * @return the report; fails if the replica does not respond in time
     */
    Uni<Report> report(ListedReplica replica);

    /**
     * Sends an order to a replica.
     *
     * @param replica the replica, not null
     * @param order the order, not null
     * @param maySend returns whether the order may still be sent; called when the connection is established, just before
     *     the first byte is written; not null
     * @return the reply of the replica; never fails, {@link OrderReply#UNKNOWN} if there was no response
     */
    Uni<OrderReply> order(ListedReplica replica, Order order, BooleanSupplier maySend);

    /**
     * The state that a replica reports.
     *
     * @param holdings the weights that it holds, not null
     * @param busy whether it is executing an order
     */
    record Report(Holdings holdings, boolean busy) {}

    /** The reply of a replica to an order. */
    enum OrderReply {
        /** The replica accepted the order and is executing it. */
        ACCEPTED,
        /** The replica already holds the weights, or the order unloaded an unused adapter and is complete. */
        ALREADY_HOLDS,
        /** Another order is in progress, or the replica has accepted a different number of orders than expected. */
        CONFLICT,
        /** The replica has already received an order with a newer fencing token. */
        FENCED,
        /** A different replica responded at the address. */
        OTHER_REPLICA,
        /** The replica rejected the order; a retry would be rejected too. */
        REJECTED,
        /** The order was not sent, as its sender no longer had the right to. */
        NOT_SENT,
        /** No usable response arrived; the replica may have accepted the order and may still execute it. */
        UNKNOWN
    }
}
