package org.tarragonring.gateway.orders;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Two holders of one order group would overload replicas with conflicting orders. This can happen after a suspension
 * of the holder, a takeover that races with a renewal, or an outage of the store in which the lease is recorded.
 */
class GroupLeaseTest {

    private long nowMillis = 50_000;
    private long suspendedMillis;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final PausableStore store = new PausableStore();
    private final List<Runnable> timers = new ArrayList<>();
    private final GroupLease first = lease("first", false);
    private final GroupLease second = lease("second", false);

    @Test
    void concurrentOrdersShareOneRenewal() {
        first.acquire(Optional.empty()).await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.pauseWrites();
        AtomicReference<Boolean> modelOrder = new AtomicReference<>();
        AtomicReference<Boolean> adapterOrder = new AtomicReference<>();
        first.ensureValid().subscribe().with(modelOrder::set);
        first.ensureValid().subscribe().with(adapterOrder::set);
        assertNull(modelOrder.get());

        store.resumeWrites();

        assertEquals(true, modelOrder.get());
        assertEquals(true, adapterOrder.get());
        assertTrue(first.isHeld());
        assertEquals(2, store.writeCount());
    }

    @Test
    void takeoverSucceedsIfHolderDidNotRenew() {
        first.acquire(Optional.empty()).await().indefinitely();
        Optional<GroupLease.VersionedRecord> previous = second.read().await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();

        second.acquire(previous).await().indefinitely();

        assertEquals(2, second.fence());
        assertFalse(first.ensureValid().await().indefinitely());
        assertFalse(first.isHeld());
    }

    // Guards against a group that no entry can take over, and against a fencing token lower than one already used.
    @Test
    void recordThatCannotBeReadIsTakenOverWithAHigherFence() {
        first.acquire(Optional.empty()).await().indefinitely();
        long version = first.read().await().indefinitely().orElseThrow().version();
        store.write("tarragonring-order-leases/group-3", version, "[[1]]".getBytes(StandardCharsets.UTF_8))
                .await()
                .indefinitely();

        second.acquire(second.read().await().indefinitely()).await().indefinitely();

        assertTrue(second.isHeld());
        assertTrue(second.fence() > first.fence());
    }

    @Test
    void takeoverFailsIfHolderRenewedAfterTheRead() {
        first.acquire(Optional.empty()).await().indefinitely();
        Optional<GroupLease.VersionedRecord> previous = second.read().await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(first.ensureValid().await().indefinitely());

        boolean acquired = second.acquire(previous)
                .map(done -> true)
                .onFailure()
                .recoverWithItem(false)
                .await()
                .indefinitely();

        assertFalse(acquired);
        assertFalse(second.isHeld());
    }

    @Test
    void holderMustRenewBeforeItsNextOrderAfterSuspension() {
        first.acquire(Optional.empty()).await().indefinitely();
        Optional<GroupLease.VersionedRecord> previous = second.read().await().indefinitely();
        suspendedMillis = 10_000;
        second.acquire(previous).await().indefinitely();

        assertFalse(
                first.ensureValid().await().indefinitely(),
                "a suspension that the monotonic clock did not count must invalidate the lease");
    }

    @Test
    void unreachableStoreStopsOrdersOnlyIfFencingTokensAreNotChecked() {
        GroupLease fencedLease = lease("fenced", true);
        first.acquire(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertFalse(first.ensureValid().await().indefinitely());
        store.setReachable(true);
        fencedLease.acquire(fencedLease.read().await().indefinitely()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();

        assertTrue(fencedLease.ensureValid().await().indefinitely());
    }

    @Test
    void unresponsiveStoreDelaysOnlyTheFirstOrderByItsFullTimeout() {
        GroupLease fencedLease = lease("fenced", true);
        fencedLease.acquire(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(fencedLease.ensureValid().await().indefinitely());
        store.pauseWrites();
        AtomicReference<Boolean> order = new AtomicReference<>();

        fencedLease.ensureValid().subscribe().with(order::set);
        assertNull(order.get(), "the order must give a recovered store time to respond");
        timers.forEach(Runnable::run);

        assertEquals(true, order.get());
    }

    @Test
    void holderThatLostItsLeaseDuringAStoreOutageSendsNoOrders() {
        GroupLease fencedLease = lease("fenced", true);
        fencedLease.acquire(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(fencedLease.ensureValid().await().indefinitely());
        store.setReachable(true);
        second.acquire(second.read().await().indefinitely()).await().indefinitely();

        assertFalse(fencedLease.ensureValid().await().indefinitely());
        assertFalse(fencedLease.isHeld());
    }

    @Test
    void releaseIsWrittenToTheRecord() {
        first.acquire(Optional.empty()).await().indefinitely();

        first.release().await().indefinitely();

        assertFalse(first.isHeld());
        assertTrue(second.read().await().indefinitely().orElseThrow().record().released());
    }

    // Guards against a fencing token that goes back, and a renewal that names an outdated version.
    @Test
    void lateResponseToARenewalDoesNotReplaceALaterAcquisition() {
        first.acquire(Optional.empty()).await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.pauseResponses(true);
        first.ensureValid().subscribe().with(valid -> {});
        store.pauseResponses(false);
        first.markLost("test");
        first.acquire(first.read().await().indefinitely()).await().indefinitely();

        store.resumeWrites();

        assertEquals(2, first.fence());
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(first.ensureValid().await().indefinitely());
    }

    // Guards against an order that was begun before the process was suspended and is sent when it goes on.
    @Test
    void orderBegunBeforeASuspensionMayNotBeSentAfterIt() {
        first.acquire(Optional.empty()).await().indefinitely();
        GroupLease.OrderPermit order = first.beginOrder().orElseThrow();
        assertTrue(order.maySend());

        suspendedMillis = 10_000;

        assertFalse(order.maySend());
    }

    // Guards against an order that was begun under a lease which was lost and acquired again.
    @Test
    void orderBegunUnderAnEarlierAcquisitionMayNotBeSent() {
        first.acquire(Optional.empty()).await().indefinitely();
        GroupLease.OrderPermit order = first.beginOrder().orElseThrow();
        first.markLost("test");

        first.acquire(first.read().await().indefinitely()).await().indefinitely();

        assertFalse(order.maySend());
    }

    // Guards against orders under a lease that the store no longer has.
    @Test
    void heldLeaseIsLostWhenTheStoreComesBackFromACopy() {
        store.copy();
        first.acquire(Optional.empty()).await().indefinitely();
        GroupLease.OrderPermit order = first.beginOrder().orElseThrow();

        store.restoreCopy();

        assertFalse(first.isHeld());
        assertFalse(order.maySend());
        assertFalse(first.ensureValid().await().indefinitely());
    }

    // Guards against a token that comes twice, as the record with the last one is lost.
    @Test
    void fenceRisesAlthoughTheLastAcquisitionsAreLost() {
        store.copy();
        first.acquire(Optional.empty()).await().indefinitely();
        first.markLost("test");
        first.acquire(first.read().await().indefinitely()).await().indefinitely();
        store.restoreCopy();

        second.acquire(second.read().await().indefinitely()).await().indefinitely();

        assertTrue(second.fence() > first.fence(), second.fence() + " after " + first.fence());
    }

    // Guards against a token that comes twice, as a holder that does not know of the new era has replaced the record.
    @Test
    void fenceRisesAfterARecordOfTheEraBeforeHasReplacedALaterOne() {
        first.acquire(Optional.empty()).await().indefinitely();
        store.copy();
        byte[] earlier = store.read("tarragonring-order-leases/group-3")
                .await()
                .indefinitely()
                .orElseThrow()
                .value();
        store.restoreCopy();
        second.acquire(second.read().await().indefinitely()).await().indefinitely();
        long version = second.read().await().indefinitely().orElseThrow().version();
        store.write("tarragonring-order-leases/group-3", version, earlier)
                .await()
                .indefinitely();

        first.acquire(first.read().await().indefinitely()).await().indefinitely();

        assertTrue(first.fence() > second.fence(), first.fence() + " after " + second.fence());
    }

    // Guards against a lease whose acquisition is lost, as its response was on its way when the store came back.
    @Test
    void acquisitionThatIsAnsweredAfterTheStoreCameBackDoesNotCount() {
        store.copy();
        store.pauseResponses(true);
        first.acquire(Optional.empty()).subscribe().with(done -> {}, failure -> {});
        store.restoreCopy();

        store.resumeWrites();

        assertFalse(first.isHeld());
    }

    private GroupLease lease(String entry, boolean fencesChecked) {
        return new GroupLease(
                3,
                new EntryId(entry),
                fencesChecked,
                store,
                clock,
                () -> Instant.ofEpochMilli(nowMillis + suspendedMillis),
                new Delays((delay, action) -> {
                    timers.add(action);
                    return () -> {};
                }));
    }
}
