package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.call.Order;
import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * An order must not exceed the memory of a replica or run twice. The dangers are a load still in progress for the
 * previous holder of the lease, a lost order or reply, and an order count that differs from that of the replica.
 */
class ReplicaLoadExecutorTest {

    private static final UpstreamId REPLICA = new UpstreamId("r1");
    private static final EntryId SELF = new EntryId("entry-1");
    private static final EntryId OTHER = new EntryId("other");
    private static final ModelName FIRST_MODEL = new ModelName("m1");
    private static final ModelName SECOND_MODEL = new ModelName("m2");

    private long nowMillis = 10_000;
    private final Queue<Runnable> timers = new ArrayDeque<>();
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaCatalog catalog = new ReplicaCatalog(clock, new Ejections(clock));
    private final FakeReplica replica = new FakeReplica();
    private final List<PeerMessage.ReplicaNotice> notices = new ArrayList<>();
    private final List<EntryId> told = new ArrayList<>();
    private final PausableStore store = new PausableStore();
    private Delays delays;
    private GroupLease lease;
    private ReplicaLoadExecutor executor;

    @BeforeEach
    void acquireLease() {
        Delays delays = new Delays((delay, action) -> {
            timers.add(() -> {
                nowMillis += Math.max(1, delay.toMillis());
                action.run();
            });
            return () -> {};
        });
        replica.models.put(FIRST_MODEL, new HashSet<>());
        catalog.put(listed(replica.holdings(Holdings.UNKNOWN_ORDER_COUNT)));
        useLease(true, delays);
    }

    private void useLease(boolean fencesChecked, Delays delays) {
        this.delays = delays;
        lease = new GroupLease(0, SELF, fencesChecked, store, clock, () -> Instant.ofEpochMilli(nowMillis), delays);
        lease.acquire(lease.read().await().indefinitely()).await().indefinitely();
        executor = new ReplicaLoadExecutor(
                REPLICA, SELF, lease, catalog, replica, clock, delays, notices::add, (to, notice) -> told.add(to));
    }

    @Test
    void evictsThenLoads() {
        request(SECOND_MODEL, "", List.of(FIRST_MODEL));

        assertEquals(Set.of(SECOND_MODEL), replica.models.keySet());
        assertEquals(0, replica.overloads);
    }

    @Test
    void loadThatExceedsMemoryIsNotOrdered() {
        request(SECOND_MODEL, "", List.of());

        assertEquals(Set.of(FIRST_MODEL), replica.models.keySet());
        assertEquals(0, replica.overloads);
    }

    @Test
    void loadInProgressForPreviousHolderIsAwaitedBeforeCheckingMemory() {
        replica.models.clear();
        replica.beginLoad(FIRST_MODEL, 700);

        request(SECOND_MODEL, "", List.of());

        assertEquals(0, replica.overloads, "memory overloaded by a second load during the one in progress");
        assertFalse(replica.models.containsKey(SECOND_MODEL));
    }

    // Guards against a planner that goes on planning for a replica because notices of the load in progress were lost.
    @Test
    void senderOfLoadRequestDuringAnotherLoadIsToldTheStateOfTheReplica() {
        executor.submit(SELF, new PeerMessage.LoadRequest(REPLICA, SECOND_MODEL, "", List.of(FIRST_MODEL)), engine());

        executor.submit(OTHER, new PeerMessage.LoadRequest(REPLICA, FIRST_MODEL, "", List.of()), engine());

        assertEquals(List.of(OTHER), told);
    }

    @Test
    void orderWithoutReplyIsRetried() {
        replica.repliesToLose = 1;
        replica.losesOrders = true;

        request(FIRST_MODEL, "a1", List.of());

        assertTrue(replica.models.get(FIRST_MODEL).contains("a1"));
    }

    @Test
    void acceptedOrderWhoseReplyWasLostIsCountedOnce() {
        replica.repliesToLose = 1;

        request(FIRST_MODEL, "a1", List.of());
        request(FIRST_MODEL, "a2", List.of());
        request(FIRST_MODEL, "a3", List.of());

        assertEquals(Set.of("a2", "a3"), replica.models.get(FIRST_MODEL));
        assertEquals(0, replica.overloads);
    }

    @Test
    void loadOfAResidentAdapterDoesNotIncreaseTheOrderCount() {
        request(FIRST_MODEL, "a1", List.of());
        replica.models.get(FIRST_MODEL).add("a2");

        request(FIRST_MODEL, "a2", List.of());
        long startMillis = nowMillis;
        request(FIRST_MODEL, "a3", List.of());

        assertTrue(replica.models.get(FIRST_MODEL).contains("a3"));
        assertTrue(nowMillis - startMillis < 500, "the load was delayed by retries with a wrong order count");
    }

    @Test
    void tooHighOrderCountIsCorrected() {
        request(FIRST_MODEL, "a1", List.of());
        replica.orderCount -= 1;

        request(FIRST_MODEL, "a2", List.of());

        assertTrue(replica.models.get(FIRST_MODEL).contains("a2"));
    }

    @Test
    void modelWhoseUnloadWaitsForRunningCallsIsNotAnnounced() {
        replica.unloadMillis = 4_000;

        request(SECOND_MODEL, "", List.of(FIRST_MODEL));

        assertEquals(Set.of(SECOND_MODEL), replica.models.keySet());
        long outdatedNotices = notices.stream()
                .filter(notice -> notice.sequence() > 0 && notice.residents().containsKey(FIRST_MODEL))
                .count();
        assertEquals(0, outdatedNotices, "notices that list the model after its unload was accepted");
    }

    // Guards against a load that completes while its holder cannot reach the replica, and is then counted as not
    // loaded.
    @Test
    void loadWhoseEndWasNotSeenIsVerifiedBeforeTheNextOrder() {
        replica.unreachableMillisAfterLoadOrder = 5_000;
        request(SECOND_MODEL, "", List.of(FIRST_MODEL));
        nowMillis += 5_000;

        request(FIRST_MODEL, "", List.of());

        assertEquals(0, replica.overloads, "memory overloaded, as the completed load was not known");
        assertEquals(Set.of(SECOND_MODEL), replica.models.keySet());
    }

    // Guards against a late registration that is taken for the state of a replica whose entry in the list had expired.
    @Test
    void replicaThatRegistersAgainIsVerifiedBeforeTheNextOrder() {
        request(FIRST_MODEL, "a1", List.of());
        catalog.remove(REPLICA);
        catalog.put(listed(new Holdings(1, Holdings.UNKNOWN_ORDER_COUNT, Map.of(), Set.of(), Set.of(SECOND_MODEL))));

        request(SECOND_MODEL, "", List.of());

        assertEquals(0, replica.overloads, "memory overloaded, as the late registration was trusted");
        assertEquals(Set.of(FIRST_MODEL), replica.models.keySet());
    }

    @Test
    void newHolderBroadcastsStateThatPreviousHolderDidNot() {
        replica.models.put(SECOND_MODEL, new HashSet<>());
        replica.orderCount = 7;

        executor.refreshState();

        assertEquals(
                Set.of(FIRST_MODEL, SECOND_MODEL), notices.get(0).residents().keySet());
        assertEquals(7, notices.get(0).sequence());
    }

    // Guards against the orders of the holder before, which a report that was on its way at the handover does not
    // contain.
    @Test
    void reportRequestedBeforeTheLeaseWasAcquiredIsNotTrusted() {
        replica.pausesReports = true;
        executor.refreshState();
        lease.markLost("test");
        lease.acquire(lease.read().await().indefinitely()).await().indefinitely();
        replica.models.get(FIRST_MODEL).addAll(Set.of("b1", "b2"));
        replica.pausesReports = false;
        replica.pausedReports.remove().run();

        request(FIRST_MODEL, "a1", List.of());

        assertEquals(0, replica.overloads);
    }

    // Guards against an initial placement that leaves less memory than the places for adapters need.
    @Test
    void adapterThatExceedsMemoryIsNotOrdered() {
        double memoryMegabytes = 61;
        EngineSpec engine = engine();
        EngineSpec small = new EngineSpec(8, memoryMegabytes, 2, 2, engine.models());

        request(FIRST_MODEL, "a1", List.of(), small);
        request(FIRST_MODEL, "a2", List.of(), small);

        assertEquals(Set.of("a1"), replica.models.get(FIRST_MODEL));
    }

    // Guards against hundreds of datagrams for each adapter that one entry asked for.
    @Test
    void loadedAdapterIsToldToTheEntryThatAskedForIt() {
        request(FIRST_MODEL, "a1", List.of());
        int broadcasts = notices.size();

        request(FIRST_MODEL, "a2", List.of());
        request(FIRST_MODEL, "a2", List.of());

        assertEquals(List.of(OTHER, OTHER, OTHER), told);
        assertEquals(broadcasts, notices.size());
    }

    // Guards against an order that waited for a renewal and is sent after the lease was released, while another entry
    // already sends orders under the next fencing token.
    @Test
    void orderThatWaitedForARenewalIsNotSentAfterTheRelease() {
        useLease(false, delays);
        request(FIRST_MODEL, "a1", List.of());
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.pauseWrites();
        request(FIRST_MODEL, "a2", List.of());

        lease.release().subscribe().with(done -> {});
        store.resumeWrites();

        assertEquals(Set.of("a1"), replica.models.get(FIRST_MODEL));
    }

    // Guards against a lease that another entry takes over at once while an order of this entry is on its way.
    @Test
    void releaseIsRecordedAfterTheOrdersOnTheirWayHaveEnded() {
        useLease(false, delays);
        request(FIRST_MODEL, "a1", List.of());
        replica.pausesOrders = true;
        request(FIRST_MODEL, "a2", List.of());

        lease.release().subscribe().with(done -> {});
        assertFalse(isReleased(), "released although an order has not ended");
        replica.pausedOrders.remove().run();

        assertTrue(isReleased());
    }

    // Guards against an order without a reply that arrives after the first order of the next holder.
    @Test
    void leaseIsNotReleasedAfterAnOrderWithoutReply() {
        useLease(false, delays);
        replica.repliesToLose = 1;
        request(FIRST_MODEL, "a1", List.of());

        lease.release().subscribe().with(done -> {});

        assertFalse(isReleased());
    }

    // Guards against an order under a lease that expired before the response to its renewal arrived.
    @Test
    void orderIsNotSentIfTheRenewalIsAnsweredAfterTheLeaseHasExpired() {
        useLease(false, delays);
        request(FIRST_MODEL, "a1", List.of());
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.pauseWrites();
        request(FIRST_MODEL, "a2", List.of());
        nowMillis += GroupLease.VALIDITY.toMillis();

        store.resumeWrites();

        assertEquals(Set.of("a1"), replica.models.get(FIRST_MODEL));
    }

    // Guards against an order under a lease that is acquired by a write whose response arrives after the lease expired.
    @Test
    void leaseWhoseAcquisitionIsAnsweredLateMustBeRenewedBeforeTheFirstOrder() {
        useLease(false, delays);
        lease.markLost("test");
        store.pauseWrites();
        lease.acquire(lease.read().await().indefinitely()).subscribe().with(done -> {});
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.resumeWrites();
        store.setReachable(false);

        request(FIRST_MODEL, "a1", List.of());

        assertEquals(Set.of(), replica.models.get(FIRST_MODEL));
    }

    private boolean isReleased() {
        return lease.read().await().indefinitely().orElseThrow().record().released();
    }

    private void request(ModelName model, String adapter, List<ModelName> evict) {
        request(model, adapter, evict, engine());
    }

    private void request(ModelName model, String adapter, List<ModelName> evict, EngineSpec engine) {
        executor.submit(OTHER, new PeerMessage.LoadRequest(REPLICA, model, adapter, evict), engine);
        while (!timers.isEmpty()) {
            timers.remove().run();
        }
    }

    private static EngineSpec engine() {
        Map<ModelName, ModelSpec> models = new HashMap<>();
        for (ModelName model : List.of(FIRST_MODEL, SECOND_MODEL)) {
            models.put(
                    model,
                    new ModelSpec(model, 60, 1, Duration.ofMillis(500), Duration.ofMillis(50), Duration.ofMillis(30)));
        }
        return new EngineSpec(8, 100, 2, 2, models);
    }

    private static ListedReplica listed(Holdings holdings) {
        return new ListedReplica(
                REPLICA,
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 80),
                "d",
                new SoftwareVersion("v1"),
                8,
                false,
                holdings);
    }

    /** A replica that rejects orders with a wrong order count and counts the orders that exceed its capacity. */
    private final class FakeReplica implements ReplicaClient {

        private final Map<ModelName, Set<String>> models = new HashMap<>();
        private final List<ModelName> loading = new ArrayList<>();
        private final List<ModelName> unloading = new ArrayList<>();
        private long busyUntilMillis;
        private long unloadMillis;
        private long unreachableMillisAfterLoadOrder;
        private long unreachableUntilMillis;
        private long orderCount;
        private int repliesToLose;
        private boolean losesOrders;
        private boolean pausesReports;
        private final Queue<Runnable> pausedReports = new ArrayDeque<>();
        private boolean pausesOrders;
        private final Queue<Runnable> pausedOrders = new ArrayDeque<>();
        private int overloads;

        void beginLoad(ModelName model, long millis) {
            loading.add(model);
            busyUntilMillis = nowMillis + millis;
        }

        @Override
        public void onLeaving(Consumer<ListedReplica> listener) {}

        @Override
        public Uni<Report> report(ListedReplica listed) {
            finishOrders();
            if (nowMillis < unreachableUntilMillis) {
                return Uni.createFrom().failure(new IllegalStateException("no response"));
            }
            Report report = new Report(holdings(orderCount), isBusy());
            return pausesReports
                    ? Uni.createFrom().emitter(emitter -> pausedReports.add(() -> emitter.complete(report)))
                    : Uni.createFrom().item(report);
        }

        @Override
        public Uni<OrderReply> order(ListedReplica listed, Order order, BooleanSupplier maySend) {
            finishOrders();
            if (pausesOrders) {
                return Uni.createFrom().emitter(emitter -> pausedOrders.add(() -> emitter.complete(execute(order))));
            }
            if (repliesToLose > 0) {
                repliesToLose--;
                if (!losesOrders) {
                    execute(order);
                }
                return Uni.createFrom().item(OrderReply.UNKNOWN);
            }
            return Uni.createFrom().item(execute(order));
        }

        private OrderReply execute(Order order) {
            boolean isOtherCount = order.expectedOrderCount() >= 0 && order.expectedOrderCount() != orderCount;
            if (isBusy() || isOtherCount) {
                return OrderReply.CONFLICT;
            }
            Set<String> adapters = models.get(order.model());
            if (!order.adapter().isEmpty()) {
                return order.load() ? loadAdapter(adapters, order.adapter()) : unloadAdapter(adapters, order.adapter());
            }
            orderCount++;
            if (order.load()) {
                overloads += (models.size() + 1) * 60 > 100 ? 1 : 0;
                beginLoad(order.model(), 40);
                unreachableUntilMillis = nowMillis + unreachableMillisAfterLoadOrder;
            } else {
                unloading.add(order.model());
                busyUntilMillis = nowMillis + unloadMillis;
                finishOrders();
            }
            return OrderReply.ACCEPTED;
        }

        private OrderReply loadAdapter(Set<String> adapters, String adapter) {
            if (adapters.contains(adapter)) {
                return OrderReply.ALREADY_HOLDS;
            }
            orderCount++;
            adapters.add(adapter);
            overloads += adapters.size() > 2 ? 1 : 0;
            return OrderReply.ACCEPTED;
        }

        private OrderReply unloadAdapter(Set<String> adapters, String adapter) {
            orderCount++;
            adapters.remove(adapter);
            return OrderReply.ALREADY_HOLDS;
        }

        private Holdings holdings(long acceptedOrders) {
            Map<ModelName, Set<String>> residents = new HashMap<>();
            models.forEach((model, adapters) -> residents.put(model, Set.copyOf(adapters)));
            return new Holdings(1, acceptedOrders, residents, Set.of(), Set.of(FIRST_MODEL, SECOND_MODEL));
        }

        private boolean isBusy() {
            return nowMillis < busyUntilMillis;
        }

        private void finishOrders() {
            if (!isBusy()) {
                loading.forEach(model -> models.put(model, new HashSet<>()));
                loading.clear();
                unloading.forEach(models::remove);
                unloading.clear();
            }
        }
    }
}
