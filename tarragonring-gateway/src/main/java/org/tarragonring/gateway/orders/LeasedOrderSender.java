package org.tarragonring.gateway.orders;

import java.util.Objects;
import java.util.Optional;

import io.smallrye.mutiny.Uni;
import org.tarragonring.gateway.call.Order;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.call.ReplicaClient.OrderReply;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.replica.ListedReplica;

/**
 * Sends orders to replicas only while this entry holds the lease of their group, and keeps the lease from being released
 * while an order is on its way.
 *
 * <p>Not thread-safe.
 */
final class LeasedOrderSender {

    private final GroupLease lease;
    private final ReplicaClient client;

    LeasedOrderSender(GroupLease lease, ReplicaClient client) {
        this.lease = Objects.requireNonNull(lease, "lease");
        this.client = Objects.requireNonNull(client, "client");
    }

    /**
     * Sends an order once, if the lease is valid now and when the connection to the replica is established.
     *
     * @param replica the replica, not null
     * @param order the order, with the fencing token of the lease; not null
     * @return the reply; {@link OrderReply#NOT_SENT} if the lease has expired or was lost
     */
    Uni<OrderReply> send(ListedReplica replica, Order order) {
        Optional<GroupLease.OrderPermit> permit = lease.beginOrder();
        if (permit.isEmpty()) {
            return Uni.createFrom().item(OrderReply.NOT_SENT);
        }
        return client.order(replica, order, permit.get()::maySend)
                .onItemOrFailure()
                .invoke((reply, failure) -> permit.get().end(failure != null || reply == OrderReply.UNKNOWN))
                .invoke(reply -> LogEvent.ORDER_REPLIED.log(
                        order.load() ? "load" : "unload",
                        order.model(),
                        order.adapter(),
                        replica.id(),
                        order.expectedOrderCount(),
                        order.fence(),
                        reply));
    }
}
