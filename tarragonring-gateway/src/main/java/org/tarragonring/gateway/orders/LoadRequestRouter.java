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
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ServiceSpec;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Routes each load request to the entry that holds the order lease of its replica, and executes the requests that this
 * entry itself is responsible for.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class LoadRequestRouter {

    private final EntryId self;
    private final OrderLeaseManager leaseManager;
    private final ReplicaCatalog catalog;
    private final ReplicaClient client;
    private final Mesh mesh;
    private final Supplier<Optional<ServingConfig>> config;
    private final MonotonicClock clock;
    private final Delays delays;
    private final Map<UpstreamId, ReplicaLoadExecutor> executors = new HashMap<>();

    /**
     * Creates a router; {@link #start} starts it.
     *
     * @param self the id of this entry, not null
     * @param leaseManager knows the holder of each order lease, not null
     * @param catalog the known replicas, not null
     * @param client sends orders to replicas, not null
     * @param mesh sends messages to the other entries and receives theirs, not null
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param clock the monotonic clock, not null
     * @param delays schedules waits, not null
     */
    public LoadRequestRouter(
            EntryId self,
            OrderLeaseManager leaseManager,
            ReplicaCatalog catalog,
            ReplicaClient client,
            Mesh mesh,
            Supplier<Optional<ServingConfig>> config,
            MonotonicClock clock,
            Delays delays) {
        this.self = Objects.requireNonNull(self, "self");
        this.leaseManager = Objects.requireNonNull(leaseManager, "leaseManager");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.config = Objects.requireNonNull(config, "config");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.delays = Objects.requireNonNull(delays, "delays");
    }

    /** Starts accepting load requests and replica notices of other entries. */
    public void start() {
        catalog.setLeaseHeldByThisEntry(replica -> leaseManager.leaseOf(replica).isHeld());
        leaseManager.onAcquired(this::refreshReplicas);
        mesh.on(PeerMessage.LoadRequest.class, this::execute);
        mesh.on(PeerMessage.ReplicaNotice.class, (from, notice) -> catalog.onNotice(notice));
    }

    /**
     * Passes a request to the entry that holds the order lease of the replica, which may be this entry.
     *
     * @param request the request, not null
     * @return false if no lease holder is known, so that the request was dropped
     */
    public boolean route(PeerMessage.LoadRequest request) {
        Optional<EntryId> holder = leaseManager.holderOf(request.replica());
        holder.ifPresent(entry -> {
            if (entry.equals(self)) {
                execute(self, request);
            } else {
                mesh.send(entry, request);
            }
        });
        return holder.isPresent();
    }

    private void execute(EntryId from, PeerMessage.LoadRequest request) {
        ReplicaState replica = catalog.find(request.replica()).orElse(null);
        Optional<EngineSpec> engine = Optional.ofNullable(replica).flatMap(this::engineOf);
        GroupLease lease = leaseManager.leaseOf(request.replica());
        if (engine.isEmpty() || !lease.isHeld()) {
            LogEvent.LOAD_REQUEST_MISDIRECTED.log(
                    request.model(),
                    request.adapter(),
                    request.replica(),
                    from,
                    lease.isHeld() ? "replica unknown" : "order lease not held");
            return;
        }
        executorOf(replica).submit(from, request, engine.get());
    }

    /** Queries the replicas of a group, because the previous holder may have ordered loads without announcing them. */
    private void refreshReplicas(int group) {
        for (ReplicaState replica : catalog.all()) {
            if (OrderGroups.of(replica.id()) == group && engineOf(replica).isPresent()) {
                executorOf(replica).refreshState();
            }
        }
    }

    private Optional<EngineSpec> engineOf(ReplicaState replica) {
        return config.get()
                .flatMap(c -> c.findService(replica.listed().service()))
                .flatMap(ServiceSpec::engine);
    }

    private ReplicaLoadExecutor executorOf(ReplicaState replica) {
        executors.keySet().removeIf(id -> catalog.find(id).isEmpty());
        return executors.computeIfAbsent(
                replica.id(),
                id -> new ReplicaLoadExecutor(
                        id,
                        self,
                        leaseManager.leaseOf(id),
                        catalog,
                        client,
                        clock,
                        delays,
                        mesh::broadcast,
                        mesh::send));
    }
}
