package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.gateway.call.Order;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.call.ReplicaClient.OrderReply;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Executes the load requests of one replica under the order lease of its group, as a sequence of load and unload
 * orders.
 *
 * <p>Each order carries the number of orders that the replica must have accepted so far (optimistic concurrency
 * control). The replica therefore rejects an order that arrives after a newer one, and when it accepts an order, the
 * models and adapters that it holds are known exactly.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
final class ReplicaLoadExecutor {

    /** The delay before the first retry of an order; it doubles with each retry up to the maximum. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 25;

    private static final long MAX_RETRY_DELAY_MILLIS = 200;

    /** The interval at which the replica is polled while a load takes longer than expected. */
    private static final Duration LOAD_POLL_INTERVAL = Duration.ofMillis(60);

    /** The number of consecutive orders without a reply before the replica is considered unreachable. */
    private static final int MAX_ORDERS_WITHOUT_REPLY = 5;

    /**
     * The time from the order to load an adapter until calls can use it: the longest load time that deployments specify
     * plus the network delay.
     */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(12);

    /** The number of attempts for one order; the planner resubmits the requests that are still needed. */
    private static final int MAX_ATTEMPTS = 30;

    /** The number of polls of a replica whose load takes longer than expected. */
    private static final int MAX_LOAD_POLLS = 400;

    /**
     * When an attempt whose number is a multiple of this ends in a conflict, the replica is queried for its state,
     * which may differ from the known state.
     */
    private static final int ATTEMPTS_PER_STATE_QUERY = 4;

    /** From this attempt on, a report with a lower order count than the known one is no longer ignored as outdated. */
    private static final int ATTEMPTS_BEFORE_LOWER_COUNT = 12;

    private final UpstreamId id;
    private final EntryId self;
    private final GroupLease lease;
    private final ReplicaCatalog catalog;
    private final ReplicaClient client;
    private final LeasedOrderSender sender;
    private final MonotonicClock clock;
    private final Delays delays;
    private final ReplicaStateBroadcaster broadcaster;
    /** The position of each adapter's last load in the sequence of adapter loads; keys have the form model/adapter. */
    private final Map<String, Integer> loadPositions = new HashMap<>();
    /** The fencing token of the lease under which the state of the replica was verified, 0 if it was not. */
    private long verifiedFence;

    /**
     * The number of consecutive orders without a reply. Retrying such an order is safe: if the replica accepted the
     * first attempt, the order count has changed and the retry is rejected; if the first attempt arrives after the
     * retry, the first attempt is rejected.
     */
    private int ordersWithoutReply;

    private final LoadRequestQueue modelLoads = new LoadRequestQueue();
    private final LoadRequestQueue adapterLoads = new LoadRequestQueue();

    ReplicaLoadExecutor(
            UpstreamId id,
            EntryId self,
            GroupLease lease,
            ReplicaCatalog catalog,
            ReplicaClient client,
            MonotonicClock clock,
            Delays delays,
            Consumer<PeerMessage.ReplicaNotice> broadcaster,
            BiConsumer<EntryId, PeerMessage.ReplicaNotice> sender) {
        this.id = Objects.requireNonNull(id, "id");
        this.self = Objects.requireNonNull(self, "self");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.sender = new LeasedOrderSender(lease, client);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.delays = Objects.requireNonNull(delays, "delays");
        this.broadcaster = new ReplicaStateBroadcaster(catalog, broadcaster, sender, clock, delays);
    }

    /**
     * Enqueues a request unless it is already queued. A model load is rejected if another one is queued; its sender then
     * gets the state of the replica, which it does not know.
     *
     * @param from the entry that is told when an adapter is loaded, not null
     * @param request the request, not null
     * @param engine the engine of the replica's service, not null
     */
    void submit(EntryId from, PeerMessage.LoadRequest request, EngineSpec engine) {
        LoadRequestQueue queue = request.adapter().isEmpty() ? modelLoads : adapterLoads;
        boolean isQueued = queue.isQueued(from, request);
        if (queue == modelLoads && !modelLoads.isEmpty()) {
            LogEvent.LOAD_REQUEST_REJECTED.log(
                    request.model(), id, from, modelLoads.first().request().model());
            catalog.find(id).ifPresent(replica -> broadcaster.reply(replica, from));
        } else if (!isQueued) {
            queue.add(from, request);
            if (!queue.running) {
                runNext(queue, engine);
            }
        }
    }

    /**
     * Queries the state of the replica and broadcasts it, because a previous lease holder may have failed before it
     * announced its last orders.
     */
    void refreshState() {
        catalog.find(id)
                .ifPresent(replica -> refresh(replica)
                        .subscribe()
                        .with(
                                done -> {},
                                failure -> LogEvent.UNEXPECTED_FAILURE.log("state query of replica " + id, failure)));
    }

    private void runNext(LoadRequestQueue queue, EngineSpec engine) {
        LoadRequestQueue.Item next = queue.first();
        ReplicaState replica = catalog.find(id).orElse(null);
        if (next == null || replica == null || !lease.isHeld()) {
            queue.clear();
            queue.running = false;
            return;
        }
        queue.running = true;
        ordersWithoutReply = 0;
        Uni<Boolean> work = queue == modelLoads
                ? loadModel(replica, next.request(), engine)
                        .invoke(loaded -> onModelRequestEnded(replica, next, loaded))
                : loadAdapter(replica, next.request(), engine)
                        .invoke(loaded -> onAdapterRequestEnded(replica, next, loaded));
        work.subscribe().with(done -> completeCurrent(queue, engine), failure -> {
            LogEvent.UNEXPECTED_FAILURE.log("orders to replica " + id, failure);
            completeCurrent(queue, engine);
        });
    }

    /** Tells the senders of a request that it failed; that a model is loaded is told to all entries. */
    private void onModelRequestEnded(ReplicaState replica, LoadRequestQueue.Item ended, boolean loaded) {
        if (!loaded) {
            ended.requesters().forEach(requester -> broadcaster.reply(replica, requester));
        }
    }

    private void onAdapterRequestEnded(ReplicaState replica, LoadRequestQueue.Item ended, boolean loaded) {
        if (loaded) {
            ended.requesters().remove(self);
            delays.after(ADAPTER_LOAD_TIME).subscribe().with(done -> broadcaster.send(replica, ended.requesters()));
        }
    }

    private void completeCurrent(LoadRequestQueue queue, EngineSpec engine) {
        queue.removeFirst();
        runNext(queue, engine);
    }

    private Uni<Boolean> loadModel(ReplicaState replica, PeerMessage.LoadRequest request, EngineSpec engine) {
        if (replica.holds(request.model(), "")) {
            return Uni.createFrom().item(true);
        }
        Uni<Boolean> steps = Uni.createFrom().item(true);
        for (ModelName victim : request.evict()) {
            steps = steps.flatMap(ok -> ok && replica.holds(victim, "")
                    ? executeOrder(replica, false, victim, "", () -> true)
                    : completed(ok));
        }
        return steps.flatMap(ok -> {
            if (!ok) {
                return completed(false);
            }
            ModelSpec spec = engine.models().get(request.model());
            Duration expected = spec.loadTime(replica.nearestTier(spec.name()));
            return executeOrder(
                            replica,
                            true,
                            request.model(),
                            "",
                            () -> ReplicaCapacity.hasRoomForModel(replica, request.model(), engine))
                    .flatMap(accepted -> accepted ? awaitLoad(replica, spec, expected) : completed(false));
        });
    }

    private Uni<Boolean> loadAdapter(ReplicaState replica, PeerMessage.LoadRequest request, EngineSpec engine) {
        ModelName model = request.model();
        if (!replica.holds(model, "") || replica.holds(model, request.adapter())) {
            return completed(true);
        }
        Uni<Boolean> roomMade =
                ReplicaCapacity.hasFreeAdapterPlace(replica, engine) ? completed(true) : unloadOldestAdapter(replica);
        return roomMade.flatMap(ok -> ok
                ? executeOrder(
                        replica,
                        true,
                        model,
                        request.adapter(),
                        () -> replica.holds(model, "")
                                && ReplicaCapacity.hasFreeAdapterPlace(replica, engine)
                                && ReplicaCapacity.hasRoomForAdapter(replica, model, engine))
                : completed(false));
    }

    /** Unloads the adapter that was loaded least recently. */
    private Uni<Boolean> unloadOldestAdapter(ReplicaState replica) {
        String oldest = null;
        ModelName oldestModel = null;
        for (Map.Entry<ModelName, Set<String>> resident : replica.residents().entrySet()) {
            for (String adapter : resident.getValue()) {
                String key = resident.getKey() + "/" + adapter;
                if (oldest == null || loadPositions.getOrDefault(key, 0) < loadPositions.getOrDefault(oldest, 0)) {
                    oldest = key;
                    oldestModel = resident.getKey();
                }
            }
        }
        if (oldest == null) {
            return completed(false);
        }
        return executeOrder(replica, false, oldestModel, oldest.substring(oldest.indexOf('/') + 1), () -> true);
    }

    /**
     * Sends one order, with retries, until the replica accepts or finally rejects the order, {@code allowed} returns
     * false, or the attempts are used up.
     *
     * @param adapter the adapter, empty for the model itself
     * @return true if the order has taken effect or is being executed
     */
    private Uni<Boolean> executeOrder(
            ReplicaState replica, boolean load, ModelName model, String adapter, BooleanSupplier allowed) {
        return tryOrder(replica, load, model, adapter, allowed, 1);
    }

    private Uni<Boolean> tryOrder(
            ReplicaState replica, boolean load, ModelName model, String adapter, BooleanSupplier allowed, int attempt) {
        if (attempt > MAX_ATTEMPTS || !lease.isHeld() || catalog.find(id).isEmpty()) {
            return completed(false);
        }
        Uni<Optional<Boolean>> result;
        if (!isStateVerified(replica)) {
            result = refresh(replica).map(done -> Optional.empty());
        } else if (isAlreadyInEffect(replica, load, model, adapter)) {
            return completed(true);
        } else if (!allowed.getAsBoolean()) {
            return completed(false);
        } else if (!adapter.isEmpty() && replica.loading().isPresent()) {
            result = Uni.createFrom().item(Optional.empty());
        } else {
            result = sendOrder(replica, load, model, adapter, attempt);
        }
        long retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, FIRST_RETRY_DELAY_MILLIS << Math.min(attempt - 1, 10));
        return result.flatMap(outcome -> outcome.isPresent()
                ? completed(outcome.get())
                : delays.after(Duration.ofMillis(retryDelayMillis))
                        .flatMap(waited -> tryOrder(replica, load, model, adapter, allowed, attempt + 1)));
    }

    /**
     * Returns whether it is known what the replica holds. Not so after a load whose end was not seen, and after the
     * replica has registered again, since a registration may be late and contains no order count.
     */
    private boolean isStateVerified(ReplicaState replica) {
        return verifiedFence != 0
                && verifiedFence == lease.fence()
                && replica.acceptedOrders() != Holdings.UNKNOWN_ORDER_COUNT
                && !replica.isLoadOutcomeUnknown();
    }

    /** Sends an order once; the result is empty if it should be retried. */
    private Uni<Optional<Boolean>> sendOrder(
            ReplicaState replica, boolean load, ModelName model, String adapter, int attempt) {
        return lease.ensureValid().flatMap(mayOrder -> {
            if (!mayOrder) {
                return finalOutcome(false);
            }
            if (!isStateVerified(replica)) {
                return Uni.createFrom().item(Optional.empty());
            }
            Order order = new Order(load, model, adapter, replica.acceptedOrders(), self, lease.fence());
            return sender.send(replica.listed(), order).flatMap(reply -> onReply(replica, order, reply, attempt));
        });
    }

    private Uni<Optional<Boolean>> onReply(ReplicaState replica, Order order, OrderReply reply, int attempt) {
        switch (reply) {
            case ACCEPTED -> {
                ordersWithoutReply = 0;
                recordAccepted(replica, order, replica.acceptedOrders() + 1);
                return finalOutcome(true);
            }
            case ALREADY_HOLDS -> {
                if (!order.adapter().isEmpty()) {
                    recordAccepted(
                            replica, order, order.load() ? replica.acceptedOrders() : replica.acceptedOrders() + 1);
                    return finalOutcome(true);
                }
                return refresh(replica).map(done -> Optional.of(true));
            }
            case CONFLICT -> {
                verifiedFence = ordersWithoutReply > 0 ? 0 : verifiedFence;
                ordersWithoutReply = 0;
                return verifiedFence == 0 || attempt % ATTEMPTS_PER_STATE_QUERY == 0
                        ? refresh(replica, attempt >= ATTEMPTS_BEFORE_LOWER_COUNT)
                                .map(done -> Optional.empty())
                        : Uni.createFrom().item(Optional.empty());
            }
            case UNKNOWN -> {
                ordersWithoutReply++;
                return ordersWithoutReply > MAX_ORDERS_WITHOUT_REPLY
                        ? finalOutcome(false)
                        : Uni.createFrom().item(Optional.empty());
            }
            case NOT_SENT -> {
                return Uni.createFrom().item(Optional.empty());
            }
            case FENCED -> {
                lease.markLost("replica " + id + " has accepted an order with a newer fencing token");
                return finalOutcome(false);
            }
            default -> {
                return finalOutcome(false);
            }
        }
    }

    private static boolean isAlreadyInEffect(ReplicaState replica, boolean load, ModelName model, String adapter) {
        return replica.holds(model, adapter) == load
                || load && replica.loading().equals(Optional.of(model));
    }

    /** Updates the known state of the replica after it has accepted an order. */
    private void recordAccepted(ReplicaState replica, Order order, long newOrderCount) {
        Map<ModelName, Set<String>> residents = new HashMap<>(replica.residents());
        Optional<ModelName> loading = order.adapter().isEmpty() ? Optional.empty() : replica.loading();
        if (order.adapter().isEmpty()) {
            if (order.load()) {
                loading = Optional.of(order.model());
            } else {
                residents.remove(order.model());
            }
        } else {
            Set<String> adapters = new HashSet<>(residents.getOrDefault(order.model(), Set.of()));
            if (order.load()) {
                adapters.add(order.adapter());
                loadPositions.put(order.model() + "/" + order.adapter(), loadPositions.size() + 1);
            } else {
                adapters.remove(order.adapter());
            }
            residents.put(order.model(), adapters);
        }
        Optional<ModelName> newLoading = loading;
        catalog.update(
                replica,
                "accepted order",
                () -> replica.onOrderState(
                        replica.process(), newOrderCount, residents, newLoading, replica.expectedLoadEndMillis()));
        if (!order.load() && order.adapter().isEmpty()) {
            replica.onUnloadAccepted(order.model());
        }
        if (order.adapter().isEmpty()) {
            broadcaster.broadcast(replica);
        } else if (order.load()) {
            replica.markUnavailable(order.model(), order.adapter(), ADAPTER_LOAD_TIME.toMillis());
        } else {
            broadcaster.broadcastOnce(replica);
        }
    }

    /** Waits for the expected time, then polls until the load ends; the result is true if the model is resident. */
    private Uni<Boolean> awaitLoad(ReplicaState replica, ModelSpec spec, Duration expected) {
        replica.onOrderState(
                replica.process(),
                replica.acceptedOrders(),
                replica.residents(),
                Optional.of(spec.name()),
                clock.millis() + expected.toMillis());
        broadcaster.broadcast(replica);
        int[] polls = {0};
        return delays.after(expected)
                .flatMap(waited -> delays.pollUntilPresent(
                        LOAD_POLL_INTERVAL,
                        () -> refresh(replica).map(done -> {
                            boolean isOver = replica.holds(spec.name(), "")
                                    || replica.loading().isEmpty()
                                    || ++polls[0] > MAX_LOAD_POLLS
                                    || catalog.find(id).isEmpty();
                            return isOver ? Optional.of(replica.holds(spec.name(), "")) : Optional.empty();
                        })));
    }

    /**
     * Queries the state of the replica and broadcasts it. The state does not count as verified while the replica
     * executes an order, which may be one of a previous lease holder or one whose reply was lost.
     */
    private Uni<Void> refresh(ReplicaState replica) {
        return refresh(replica, false);
    }

    /**
     * Queries the state of the replica and broadcasts it.
     *
     * @param acceptLowerCount whether to accept a report with a lower order count than the known one, which is
     *     otherwise ignored as outdated
     */
    private Uni<Void> refresh(ReplicaState replica, boolean acceptLowerCount) {
        long fenceWhenSent = lease.isHeld() ? lease.fence() : 0;
        return client.report(replica.listed())
                .invoke(report -> {
                    if (acceptLowerCount && report.holdings().acceptedOrders() < replica.acceptedOrders()) {
                        replica.invalidateOrderCount();
                    }
                    boolean replacesState = report.holdings().acceptedOrders() != replica.acceptedOrders()
                            || report.holdings().processStartMillis()
                                    != replica.process().startMillis()
                            || !isStateVerified(replica);
                    boolean changed = catalog.update(replica, "report", () -> {
                        if (replacesState) {
                            replica.replaceHoldings(report.holdings());
                        } else {
                            replica.mergeHoldings(report.holdings());
                        }
                    });
                    if (replacesState && report.holdings().acceptedOrders() >= replica.acceptedOrders()) {
                        // A report that was requested before the lease was acquired may lack orders of the holder
                        // before.
                        verifiedFence = report.busy() ? 0 : fenceWhenSent;
                    }
                    if (changed) {
                        broadcaster.broadcast(replica);
                    } else {
                        broadcaster.broadcastUnchanged(replica);
                    }
                })
                .replaceWithVoid()
                .onFailure()
                .recoverWithItem(failure -> {
                    LogEvent.DEPENDENCY_STATE.log(
                            "replica " + id, false, "state query failed: " + failure.getMessage());
                    return null;
                });
    }

    private static Uni<Boolean> completed(boolean value) {
        return Uni.createFrom().item(value);
    }

    private static Uni<Optional<Boolean>> finalOutcome(boolean value) {
        return Uni.createFrom().item(Optional.of(value));
    }
}
