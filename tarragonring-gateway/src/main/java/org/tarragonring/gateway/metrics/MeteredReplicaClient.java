package org.tarragonring.gateway.metrics;

import java.util.Locale;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.gateway.call.Order;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.time.MonotonicClock;

/**
 * Replica client that records the outcome and duration of each request in the metrics.
 *
 * @since 0.2.0
 */
public final class MeteredReplicaClient implements ReplicaClient {

    private static final String PEER = "replica";

    private final ReplicaClient client;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;

    /**
     * Creates a client that delegates to another one.
     *
     * @param client the client that sends the requests, not null
     * @param metrics records the requests, not null
     * @param clock the monotonic clock, not null
     */
    public MeteredReplicaClient(ReplicaClient client, GatewayMetrics metrics, MonotonicClock clock) {
        this.client = Objects.requireNonNull(client, "client");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void onLeaving(Consumer<ListedReplica> listener) {
        client.onLeaving(listener);
    }

    @Override
    public Uni<Report> report(ListedReplica replica) {
        long startMillis = clock.millis();
        return client.report(replica)
                .invoke(() -> metrics.recordRequest(PEER, "report", "done", clock.millis() - startMillis))
                .onFailure()
                .invoke(() -> metrics.recordRequest(PEER, "report", "failed", clock.millis() - startMillis));
    }

    @Override
    public Uni<OrderReply> order(ListedReplica replica, Order order, BooleanSupplier maySend) {
        long startMillis = clock.millis();
        String request = (order.load() ? "load" : "unload") + (order.adapter().isEmpty() ? "" : "-adapter");
        return client.order(replica, order, maySend)
                .invoke(reply -> metrics.recordRequest(
                        PEER, request, reply.name().toLowerCase(Locale.ROOT), clock.millis() - startMillis));
    }
}
