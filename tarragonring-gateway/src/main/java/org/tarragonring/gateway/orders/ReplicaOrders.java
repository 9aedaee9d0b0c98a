package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
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
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Carries out the loads of one replica under the lease of its group, one order after another.
 *
 * <p>Each order names the number of orders that the replica must have accepted before. So an order that arrives late,
 * after a newer one, is refused by the replica, and what it holds when it accepts an order is known exactly.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
final class ReplicaOrders {

    /** The first pause before an order is sent again that met another one under way; it doubles up to the longest. */
    private static final long FIRST_CONFLICT_PAUSE_MILLIS = 25;

    private static final long MAX_CONFLICT_PAUSE_MILLIS = 200;

    /** The pause between questions for the end of a load that takes longer than expected. */
    private static final Duration LOAD_POLL = Duration.ofMillis(60);

    /** When news of a replica is repeated. */
    private static final Duration REPEAT_NOTICE = Duration.ofMillis(150);

    /** How many orders in a row may stay without an answer; the replica is gone then, or cut off. */
    private static final int MAX_UNANSWERED = 5;

    /** How long an adapter takes from its order until calls can use it: the longest that deployments give, and the way. */
    private static final Duration ADAPTER_LOAD = Duration.ofMillis(12);

    /** How often one order is tried; the planner asks again for what is still wanted. */
    private static final int MAX_TRIES = 30;

    /** How often a replica is asked whether a load that takes longer than expected has ended. */
    private static final int MAX_LOAD_POLLS = 400;

    /** After this many conflicts the replica is asked for its state, since it may differ from what is known. */
    private static final int TRIES_BEFORE_REPORT = 4;

    /** After this many a report with a lower number of orders than the one believed is not taken for a late one. */
    private static final int TRIES_BEFORE_DOUBT = 12;

    private final UpstreamId id;
    private final EntryId self;
    private final GroupLease lease;
    private final ReplicaCatalog catalog;
    private final ReplicaClient client;
    private final MonotonicClock clock;
    private final Delays delays;
    private final Consumer<PeerMessage.ReplicaNotice> announcer;
    private final Map<String, Integer> loadCounts = new HashMap<>();
    /** The fencing number of the lease under which all that the replica holds and does is known, 0 if it is not. */
    private long settledFence;

    /**
     * The orders in a row that got no answer. Each is sent again at once: if it was accepted after all, the number of orders
     * differs and the repetition is refused; if it still comes, it is refused itself.
     */
    private int unanswered;

    private boolean repeating;

    private final Lane models = new Lane();
    private final Lane adapters = new Lane();

    ReplicaOrders(
            UpstreamId id,
            EntryId self,
            GroupLease lease,
            ReplicaCatalog catalog,
            ReplicaClient client,
            MonotonicClock clock,
            Delays delays,
            Consumer<PeerMessage.ReplicaNotice> announcer) {
        this.id = Objects.requireNonNull(id, "id");
        this.self = Objects.requireNonNull(self, "self");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.delays = Objects.requireNonNull(delays, "delays");
        this.announcer = Objects.requireNonNull(announcer, "announcer");
    }

    /** Takes a request unless the same one, or another model, already waits. */
    void request(PeerMessage.LoadRequest request, EngineSpec engine) {
        Lane lane = request.adapter().isEmpty() ? models : adapters;
        boolean isKnown = lane.queue.stream()
                .anyMatch(r -> r.model().equals(request.model()) && r.adapter().equals(request.adapter()));
        if (isKnown || lane == models && !models.queue.isEmpty()) {
            return;
        }
        lane.queue.addLast(request);
        if (!lane.running) {
            next(lane, engine);
        }
    }

    /** Asks the replica for its state and tells all entries, since an earlier holder may not have told of its orders. */
    void settle() {
        catalog.find(id)
                .ifPresent(replica -> refresh(replica)
                        .subscribe()
                        .with(done -> {}, failure -> LogEvent.UNEXPECTED.log("state of replica " + id, failure)));
    }

    private void next(Lane lane, EngineSpec engine) {
        PeerMessage.LoadRequest request = lane.queue.peekFirst();
        ReplicaState replica = catalog.find(id).orElse(null);
        if (request == null || replica == null || !lease.isHeld()) {
            lane.queue.clear();
            lane.running = false;
            return;
        }
        lane.running = true;
        unanswered = 0;
        Uni<Boolean> work =
                lane == models ? loadModel(replica, request, engine) : loadAdapter(replica, request, engine);
        work.subscribe().with(done -> finished(lane, engine), failure -> {
            LogEvent.UNEXPECTED.log("orders to replica " + id, failure);
            finished(lane, engine);
        });
    }

    private void finished(Lane lane, EngineSpec engine) {
        lane.queue.pollFirst();
        next(lane, engine);
    }

    private Uni<Boolean> loadModel(ReplicaState replica, PeerMessage.LoadRequest request, EngineSpec engine) {
        if (replica.holds(request.model(), "")) {
            return Uni.createFrom().item(true);
        }
        Uni<Boolean> steps = Uni.createFrom().item(true);
        for (ModelName victim : request.evict()) {
            steps = steps.flatMap(
                    ok -> ok && replica.holds(victim, "") ? order(replica, false, victim, "", () -> true) : same(ok));
        }
        return steps.flatMap(ok -> {
            if (!ok) {
                return same(false);
            }
            ModelSpec spec = engine.models().get(request.model());
            Duration expected = spec.loadTime(replica.nearestTier(spec.name()));
            return order(replica, true, request.model(), "", () -> fits(replica, request.model(), engine))
                    .flatMap(accepted -> accepted ? await(replica, spec, expected) : same(false));
        });
    }

    private Uni<Boolean> loadAdapter(ReplicaState replica, PeerMessage.LoadRequest request, EngineSpec engine) {
        ModelName model = request.model();
        if (!replica.holds(model, "") || replica.holds(model, request.adapter())) {
            return same(true);
        }
        Uni<Boolean> room = adapterCount(replica) < engine.maxAdapters() ? same(true) : dropAdapter(replica);
        return room.flatMap(ok -> ok
                ? order(
                        replica,
                        true,
                        model,
                        request.adapter(),
                        () -> replica.holds(model, "") && adapterCount(replica) < engine.maxAdapters())
                : same(false));
    }

    private static int adapterCount(ReplicaState replica) {
        return replica.residents().values().stream().mapToInt(Set::size).sum();
    }

    /** Drops the adapter that was loaded longest ago. */
    private Uni<Boolean> dropAdapter(ReplicaState replica) {
        String oldest = null;
        ModelName oldestModel = null;
        for (Map.Entry<ModelName, Set<String>> resident : replica.residents().entrySet()) {
            for (String adapter : resident.getValue()) {
                String key = resident.getKey() + "/" + adapter;
                if (oldest == null || loadCounts.getOrDefault(key, 0) < loadCounts.getOrDefault(oldest, 0)) {
                    oldest = key;
                    oldestModel = resident.getKey();
                }
            }
        }
        if (oldest == null) {
            return same(false);
        }
        return order(replica, false, oldestModel, oldest.substring(oldest.indexOf('/') + 1), () -> true);
    }

    /** Sends one order until the replica accepts it or refuses it for good, or a condition no longer holds. */
    private Uni<Boolean> order(
            ReplicaState replica, boolean load, ModelName model, String adapter, BooleanSupplier condition) {
        return attempt(replica, load, model, adapter, condition, 1);
    }

    private Uni<Boolean> attempt(
            ReplicaState replica, boolean load, ModelName model, String adapter, BooleanSupplier condition, int tries) {
        if (tries > MAX_TRIES || !lease.isHeld() || catalog.find(id).isEmpty()) {
            return same(false);
        }
        Uni<Optional<Boolean>> result;
        if (!isSettled()) {
            result = refresh(replica).map(done -> Optional.empty());
        } else if (holdsAlready(replica, load, model, adapter)) {
            return same(true);
        } else if (!condition.getAsBoolean()) {
            return same(false);
        } else if (!adapter.isEmpty() && replica.loading().isPresent()) {
            result = Uni.createFrom().item(Optional.empty());
        } else {
            result = send(replica, load, model, adapter, tries);
        }
        long pauseMillis = Math.min(MAX_CONFLICT_PAUSE_MILLIS, FIRST_CONFLICT_PAUSE_MILLIS << Math.min(tries - 1, 10));
        return result.flatMap(ended -> ended.isPresent()
                ? same(ended.get())
                : delays.after(Duration.ofMillis(pauseMillis))
                        .flatMap(waited -> attempt(replica, load, model, adapter, condition, tries + 1)));
    }

    private boolean isSettled() {
        return settledFence != 0 && settledFence == lease.fence();
    }

    private Uni<Optional<Boolean>> send(
            ReplicaState replica, boolean load, ModelName model, String adapter, int tries) {
        return lease.ensure().flatMap(mayOrder -> {
            if (!mayOrder) {
                return ended(false);
            }
            if (!isSettled()) {
                return Uni.createFrom().item(Optional.empty());
            }
            Order order = new Order(load, model, adapter, replica.acceptedOrders(), self, lease.fence());
            return client.order(replica.listed(), order).flatMap(reply -> {
                LogEvent.ORDER_REPLIED.log(
                        load ? "load" : "unload", model, adapter, id, order.expectedSequence(), order.fence(), reply);
                return onReply(replica, order, reply, tries);
            });
        });
    }

    private Uni<Optional<Boolean>> onReply(ReplicaState replica, Order order, OrderReply reply, int tries) {
        switch (reply) {
            case ACCEPTED -> {
                unanswered = 0;
                apply(replica, order, replica.acceptedOrders() + 1);
                return ended(true);
            }
            case ALREADY_HOLDS -> {
                if (!order.adapter().isEmpty()) {
                    apply(replica, order, order.load() ? replica.acceptedOrders() : replica.acceptedOrders() + 1);
                    return ended(true);
                }
                return refresh(replica).map(done -> Optional.of(true));
            }
            case CONFLICT -> {
                settledFence = unanswered > 0 ? 0 : settledFence;
                unanswered = 0;
                return settledFence == 0 || tries % TRIES_BEFORE_REPORT == 0
                        ? refresh(replica, tries >= TRIES_BEFORE_DOUBT).map(done -> Optional.empty())
                        : Uni.createFrom().item(Optional.empty());
            }
            case UNKNOWN -> {
                unanswered++;
                return unanswered > MAX_UNANSWERED
                        ? ended(false)
                        : Uni.createFrom().item(Optional.empty());
            }
            case FENCED -> {
                lease.lost("replica " + id + " has seen a newer holder");
                return ended(false);
            }
            default -> {
                return ended(false);
            }
        }
    }

    private static boolean holdsAlready(ReplicaState replica, boolean load, ModelName model, String adapter) {
        return replica.holds(model, adapter) == load
                || load && replica.loading().equals(Optional.of(model));
    }

    /** Notes what the replica holds once it has accepted an order. */
    private void apply(ReplicaState replica, Order order, long newOrders) {
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
                loadCounts.put(order.model() + "/" + order.adapter(), loadCounts.size() + 1);
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
                        replica.processStartMillis(),
                        newOrders,
                        residents,
                        newLoading,
                        replica.expectedLoadEndMillis()));
        if (!order.load() && order.adapter().isEmpty()) {
            replica.onUnloadAccepted(order.model());
        }
        if (order.load() && !order.adapter().isEmpty()) {
            replica.markUnavailable(order.model(), order.adapter(), ADAPTER_LOAD.toMillis());
            delays.after(ADAPTER_LOAD).subscribe().with(done -> announce(replica));
        } else {
            announce(replica);
        }
    }

    /** Waits for a load, first as long as it should take, then by asking the replica. */
    private Uni<Boolean> await(ReplicaState replica, ModelSpec spec, Duration expected) {
        replica.onOrderState(
                replica.processStartMillis(),
                replica.acceptedOrders(),
                replica.residents(),
                Optional.of(spec.name()),
                clock.millis() + expected.toMillis());
        announce(replica);
        int[] tries = {0};
        return delays.after(expected)
                .flatMap(waited -> delays.until(
                        LOAD_POLL,
                        () -> refresh(replica).map(done -> {
                            boolean isOver = replica.holds(spec.name(), "")
                                    || replica.loading().isEmpty()
                                    || ++tries[0] > MAX_LOAD_POLLS
                                    || catalog.find(id).isEmpty();
                            return isOver ? Optional.of(replica.holds(spec.name(), "")) : Optional.empty();
                        })));
    }

    /**
     * Asks the replica for its state and passes it on. What it does is not known while it carries out an order of an
     * earlier holder, or one without an answer.
     */
    private Uni<Void> refresh(ReplicaState replica) {
        return refresh(replica, false);
    }

    private Uni<Void> refresh(ReplicaState replica, boolean mayBeLower) {
        return client.report(replica.listed())
                .invoke(report -> {
                    if (mayBeLower && report.holdings().acceptedOrders() < replica.acceptedOrders()) {
                        replica.invalidateOrderCount();
                    }
                    boolean isNews = report.holdings().acceptedOrders() != replica.acceptedOrders()
                            || report.holdings().processStartMillis() != replica.processStartMillis()
                            || !isSettled();
                    catalog.update(replica, "report", () -> {
                        if (isNews) {
                            replica.replaceHoldings(report.holdings());
                        } else {
                            replica.mergeHoldings(report.holdings());
                        }
                    });
                    if (isNews && report.holdings().acceptedOrders() >= replica.acceptedOrders()) {
                        settledFence = report.busy() ? 0 : lease.fence();
                    }
                    announce(replica);
                })
                .replaceWithVoid()
                .onFailure()
                .recoverWithItem(failure -> {
                    LogEvent.DEPENDENCY_STATE.log("replica " + id, false, "report: " + failure.getMessage());
                    return null;
                });
    }

    /** Tells all entries, and once more a little later, since datagrams get lost. */
    private void announce(ReplicaState replica) {
        catalog.changed();
        announcer.accept(notice(replica));
        if (!repeating) {
            repeating = true;
            delays.after(REPEAT_NOTICE).subscribe().with(done -> {
                repeating = false;
                announcer.accept(notice(replica));
            });
        }
    }

    private PeerMessage.ReplicaNotice notice(ReplicaState replica) {
        return new PeerMessage.ReplicaNotice(
                id,
                replica.processStartMillis(),
                replica.acceptedOrders(),
                replica.residents(),
                replica.loading(),
                Math.max(0, replica.expectedLoadEndMillis() - clock.millis()));
    }

    private static boolean fits(ReplicaState replica, ModelName model, EngineSpec engine) {
        ModelSpec spec = engine.models().get(model);
        if (spec == null) {
            return false;
        }
        double used = replica.loading()
                .map(engine.models()::get)
                .map(ModelSpec::weightsMegabytes)
                .orElse(0.0);
        for (ModelName resident : replica.residents().keySet()) {
            ModelSpec other = engine.models().get(resident);
            used += other == null ? engine.memoryMegabytes() : other.weightsMegabytes();
        }
        return used + spec.weightsMegabytes() <= engine.modelMemoryMegabytes();
    }

    private static Uni<Boolean> same(boolean value) {
        return Uni.createFrom().item(value);
    }

    private static Uni<Optional<Boolean>> ended(boolean value) {
        return Uni.createFrom().item(Optional.of(value));
    }

    /** Requests that are carried out one after another; loads of adapters do not wait for loads of models. */
    private static final class Lane {

        private final Deque<PeerMessage.LoadRequest> queue = new ArrayDeque<>();
        private boolean running;
    }
}
