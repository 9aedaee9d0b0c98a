package org.tarragonring.gateway.orders;

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

class GroupLeaseTest {

    private long nowMillis = 50_000;
    private long suspendedMillis;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final HeldStore store = new HeldStore();
    private final List<Runnable> timers = new ArrayList<>();
    private final GroupLease first = lease("first", false);
    private final GroupLease second = lease("second", false);

    @Test
    void twoOrdersThatNeedARenewalShareIt() {
        first.take(Optional.empty()).await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();
        store.holdWrites();
        AtomicReference<Boolean> modelOrder = new AtomicReference<>();
        AtomicReference<Boolean> adapterOrder = new AtomicReference<>();
        first.ensure().subscribe().with(modelOrder::set);
        first.ensure().subscribe().with(adapterOrder::set);
        assertNull(modelOrder.get());

        store.releaseWrites();

        assertEquals(true, modelOrder.get());
        assertEquals(true, adapterOrder.get());
        assertTrue(first.isHeld());
        assertEquals(2, store.writes());
    }

    @Test
    void takerWinsAgainstAHolderThatDidNotRenew() {
        first.take(Optional.empty()).await().indefinitely();
        Optional<GroupLease.Found> found = second.read().await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();

        second.take(found).await().indefinitely();

        assertEquals(2, second.fence());
        assertFalse(first.ensure().await().indefinitely());
        assertFalse(first.isHeld());
    }

    @Test
    void renewalDefeatsATakerThatReadBefore() {
        first.take(Optional.empty()).await().indefinitely();
        Optional<GroupLease.Found> found = second.read().await().indefinitely();
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(first.ensure().await().indefinitely());

        boolean taken = second.take(found)
                .map(done -> true)
                .onFailure()
                .recoverWithItem(false)
                .await()
                .indefinitely();

        assertFalse(taken);
        assertFalse(second.isHeld());
    }

    @Test
    void suspendedHolderRenewsBeforeItsNextOrder() {
        first.take(Optional.empty()).await().indefinitely();
        Optional<GroupLease.Found> found = second.read().await().indefinitely();
        suspendedMillis = 10_000;
        second.take(found).await().indefinitely();

        assertFalse(first.ensure().await().indefinitely(), "the monotonic clock did not count the suspension");
    }

    @Test
    void unreachableStoreStopsOrdersOnlyWhereFencesAreNotChecked() {
        GroupLease fenced = lease("fenced", true);
        first.take(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertFalse(first.ensure().await().indefinitely());
        store.setReachable(true);
        fenced.take(fenced.read().await().indefinitely()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();

        assertTrue(fenced.ensure().await().indefinitely());
    }

    @Test
    void silentStoreHoldsUpOnlyTheFirstOrderForItsWholeTimeout() {
        GroupLease fenced = lease("fenced", true);
        fenced.take(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(fenced.ensure().await().indefinitely());
        store.holdWrites();
        AtomicReference<Boolean> order = new AtomicReference<>();

        fenced.ensure().subscribe().with(order::set);
        assertNull(order.get(), "a store that is back would answer soon");
        timers.forEach(Runnable::run);

        assertEquals(true, order.get());
    }

    @Test
    void holderThatLostItsLeaseMeanwhileSendsNothingWhenTheStoreIsBack() {
        GroupLease fenced = lease("fenced", true);
        fenced.take(Optional.empty()).await().indefinitely();
        store.setReachable(false);
        nowMillis += GroupLease.VALIDITY.toMillis();
        assertTrue(fenced.ensure().await().indefinitely());
        store.setReachable(true);
        second.take(second.read().await().indefinitely()).await().indefinitely();

        assertFalse(fenced.ensure().await().indefinitely());
        assertFalse(fenced.isHeld());
    }

    @Test
    void releasedLeaseSaysSoInItsRecord() {
        first.take(Optional.empty()).await().indefinitely();

        first.release().await().indefinitely();

        assertFalse(first.isHeld());
        assertTrue(second.read().await().indefinitely().orElseThrow().record().released());
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
