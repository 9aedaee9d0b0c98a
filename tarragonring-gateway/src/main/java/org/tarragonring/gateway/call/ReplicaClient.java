package org.tarragonring.gateway.call;

import io.smallrye.mutiny.Uni;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;

/**
 * Asks replicas for their state and orders loads.
 *
 * @since 0.2.0
 */
public interface ReplicaClient {

    /**
     * Reads what a replica holds.
     *
     * @param replica the replica, not null
     * @return its report; fails if it does not answer in time
     */
    Uni<Report> report(ListedReplica replica);

    /**
     * Sends an order.
     *
     * @param replica the replica, not null
     * @param order the order, not null
     * @return what the replica said; never fails
     */
    Uni<OrderReply> order(ListedReplica replica, Order order);

    /**
     * What a replica reports.
     *
     * @param holdings what it holds, not null
     * @param busy whether it carries out an order
     */
    record Report(Holdings holdings, boolean busy) {}

    /** What a replica says to an order. */
    enum OrderReply {
        /** It is being carried out. */
        ACCEPTED,
        /** It holds already, or was an unload of an adapter that nothing uses and is done. */
        ALREADY_HOLDS,
        /** Another order is under way, or the expected number of orders differs. */
        CONFLICT,
        /** A newer holder has given orders. */
        FENCED,
        /** Another replica has the address. */
        OTHER_REPLICA,
        /** The order is refused for good. */
        REJECTED,
        /** No answer came; it may have been accepted and may still be carried out. */
        UNKNOWN
    }
}
