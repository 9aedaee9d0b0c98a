package org.tarragonring.gateway.orders;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ServiceSpec;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Takes requests for loads and passes each to the orders of its replica, if this entry holds the lease.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class OrderDesk {

    private final EntryId self;
    private final OrderAuthority authority;
    private final ReplicaCatalog catalog;
    private final ReplicaClient client;
    private final Mesh mesh;
    private final Supplier<Optional<ServingConfig>> config;
    private final MonotonicClock clock;
    private final Delays delays;
    private final Map<UpstreamId, ReplicaOrders> orders = new HashMap<>();

    /**
     * Creates a desk.
     *
     * @param self this entry, not null
     * @param authority tells which replicas this entry may order, not null
     * @param catalog the replicas, not null
     * @param client sends orders, not null
     * @param mesh the other entries, not null
     * @param config the configuration in force, not null
     * @param clock the monotonic clock, not null
     * @param delays waits, not null
     */
    public OrderDesk(
            EntryId self,
            OrderAuthority authority,
            ReplicaCatalog catalog,
            ReplicaClient client,
            Mesh mesh,
            Supplier<Optional<ServingConfig>> config,
            MonotonicClock clock,
            Delays delays) {
        this.self = Objects.requireNonNull(self, "self");
        this.authority = Objects.requireNonNull(authority, "authority");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.config = Objects.requireNonNull(config, "config");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.delays = Objects.requireNonNull(delays, "delays");
    }

    /** Starts to take requests of other entries. */
    public void start() {
        catalog.setOrderedHere(replica -> authority.leaseOf(replica).isHeld());
        authority.onTaken(this::askReplicas);
        mesh.on(PeerMessage.LoadRequest.class, (from, request) -> carryOut(request));
        mesh.on(PeerMessage.ReplicaNotice.class, (from, notice) -> catalog.onNotice(notice));
    }

    /**
     * Sends a request to the entry that may order the replica, which may be this one.
     *
     * @param request the request, not null
     * @return false if nobody is known to hold the lease
     */
    public boolean request(PeerMessage.LoadRequest request) {
        Optional<EntryId> holder = authority.holderOf(request.replica());
        holder.ifPresent(entry -> {
            if (entry.equals(self)) {
                carryOut(request);
            } else {
                mesh.send(entry, request);
            }
        });
        return holder.isPresent();
    }

    private void carryOut(PeerMessage.LoadRequest request) {
        ReplicaState replica = catalog.find(request.replica()).orElse(null);
        Optional<EngineSpec> engine = Optional.ofNullable(replica).flatMap(this::engineOf);
        GroupLease lease = authority.leaseOf(request.replica());
        if (engine.isEmpty() || !lease.isHeld()) {
            return;
        }
        ordersOf(replica).request(request, engine.get());
    }

    /** Asks the replicas of a group for their state, which the last holder may have left without telling of it. */
    private void askReplicas(int group) {
        for (ReplicaState replica : catalog.all()) {
            if (OrderGroups.of(replica.id()) == group && engineOf(replica).isPresent()) {
                ordersOf(replica).settle();
            }
        }
    }

    private Optional<EngineSpec> engineOf(ReplicaState replica) {
        return config.get()
                .flatMap(c -> c.findService(replica.listed().service()))
                .flatMap(ServiceSpec::engine);
    }

    private ReplicaOrders ordersOf(ReplicaState replica) {
        orders.keySet().removeIf(id -> catalog.find(id).isEmpty());
        return orders.computeIfAbsent(
                replica.id(),
                id -> new ReplicaOrders(
                        id, self, authority.leaseOf(id), catalog, client, clock, delays, mesh::broadcast));
    }
}
