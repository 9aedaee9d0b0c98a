package org.tarragonring.gateway.orders;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.EntryId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.lease.OrderLease;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Acquires, renews and releases the order lease of one replica group by conditional writes of its record in the object
 * store. Only the holder of the lease may send load and unload orders to the replicas of the group.
 *
 * <p>The lease is renewed on demand, when an order is about to be sent, so that an idle group causes no store requests.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class GroupLease {

    /** The key prefix of the lease records in the object store. */
    public static final String KEY_PREFIX = "tarragonring-order-leases/";

    /**
     * The time for which an acquisition or renewal is valid. After a lease holder has failed, its groups get no orders
     * for this time plus the handover delay between two holders.
     */
    static final Duration VALIDITY = Duration.ofMillis(1_500);

    /** The remaining validity below which a lease is renewed: a later order might arrive after the lease expires. */
    private static final long MIN_REMAINING_MILLIS = 400;

    /**
     * How long an order waits for a renewal after the previous renewal failed. A store that has recovered responds
     * within this time, and one that still does not respond must not delay every order by its full timeout.
     */
    private static final Duration RENEWAL_WAIT_AFTER_FAILURE = Duration.ofMillis(250);

    /**
     * How long after an order without a reply the lease is not released, as the order may still arrive. An entry that
     * waits for the lease to expire sends its first order later than this: after the validity and a handover delay of
     * 3 s.
     */
    private static final Duration MAX_ORDER_TRANSIT_TIME = Duration.ofMillis(4_500);

    /** The number of bits below the era of the store in a fencing token. */
    private static final int ERA_SHIFT = 32;

    private final int group;
    private final EntryId self;
    private final boolean fencesChecked;
    private final ObjectStore store;
    private final OrderLease lease;
    private final Delays delays;
    private boolean held;
    private boolean renewalFailed;
    private long version;
    private long fence;
    private long writeCount;
    private int ordersOnTheirWay;
    private Optional<Long> lastUnansweredMillis = Optional.empty();
    private final MonotonicClock clock;

    /** The number of acquisitions begun, so that a late response to a write of an earlier one is recognised. */
    private long acquisitionCount;

    /** When this entry learned that the store came back from an older copy. */
    private Optional<Long> restoredMillis = Optional.empty();

    /** Completes when no order is on its way any more. */
    private CompletableFuture<Void> ordersEnded = CompletableFuture.completedFuture(null);

    /** The renewal in progress, shared by all orders that wait for it; null if there is none. */
    private Uni<Boolean> pendingRenewal;

    /**
     * Creates a lease that is not held.
     *
     * @param group the number of the group, 0 to {@link OrderGroups#GROUP_COUNT} - 1
     * @param self the id of this entry, not null
     * @param fencesChecked whether replicas reject orders with an outdated fencing token; if so, this entry may go on
     *     sending orders while the store is unavailable
     * @param store the store that keeps the lease record, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the wall clock, not null
     * @param delays schedules waits, not null
     */
    public GroupLease(
            int group,
            EntryId self,
            boolean fencesChecked,
            ObjectStore store,
            MonotonicClock clock,
            InstantSource wallClock,
            Delays delays) {
        this.group = group;
        this.self = Objects.requireNonNull(self, "self");
        this.fencesChecked = fencesChecked;
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.lease = new OrderLease(clock, wallClock, VALIDITY);
        this.delays = Objects.requireNonNull(delays, "delays");
        store.addEraListener(era -> onStoreRestored());
    }

    /** Gives up the lease, whose record the store may have lost, and ignores the responses to earlier writes. */
    private void onStoreRestored() {
        markLost("the store came back from an older copy");
        acquisitionCount++;
        pendingRenewal = null;
        restoredMillis = Optional.of(clock.millis());
    }

    /**
     * Returns how long ago the store came back from an older copy, which may lack the record of the last holder.
     *
     * @return the time since this entry learned of it in milliseconds, empty if it has not happened since its start
     */
    Optional<Long> millisSinceRestore() {
        return restoredMillis.map(sinceMillis -> clock.millis() - sinceMillis);
    }

    /**
     * Returns the era of the store that holds the record.
     *
     * @return the number of the newest era seen, 0 if the store tells none
     */
    long era() {
        return store.era().number();
    }

    /**
     * Checks whether the lease can be acquired at once. A record of an earlier era of the store cannot: its holder may
     * not know yet that its lease is lost, and the record may have replaced that of a later holder.
     *
     * @param record the record of the lease, not null
     * @return true if this entry or a holder that has released the lease has written the record in this era
     */
    boolean isFree(LeaseRecord record) {
        return record.era() == era() && (record.released() || record.holder().equals(self.value()));
    }

    /**
     * Reads the lease record from the store.
     *
     * @return the record and its version, or empty if the lease was never acquired; fails with {@link StoreException}
     */
    public Uni<Optional<VersionedRecord>> read() {
        return store.read(key()).map(object -> object.map(this::decode));
    }

    /**
     * Acquires the lease if its record has not changed since it was read.
     *
     * @param previous the record as returned by {@link #read}, empty if there was none; not null
     * @return completes when the lease is held; fails with {@link StoreException} if the record has changed or could
     *     not be written
     */
    public Uni<Void> acquire(Optional<VersionedRecord> previous) {
        long newFence = nextFence(previous);
        long expectedVersion = previous.map(VersionedRecord::version).orElse(ObjectStore.ABSENT_VERSION);
        acquisitionCount++;
        pendingRenewal = null;
        return write(newFence, expectedVersion)
                .invoke(sent -> {
                    held = true;
                    lease.onGranted(sent, newFence);
                    LogEvent.ORDER_LEASE.log(
                            group,
                            true,
                            newFence,
                            "acquired, previous holder "
                                    + previous.map(p -> p.record.holder()).orElse("nobody"));
                })
                .replaceWithVoid();
    }

    /**
     * Returns a fencing token above all that were used. In an era after a loss, the record may have been replaced by one
     * of the era before, so that only its version is above all tokens: each of them was written at a version of its own.
     */
    private long nextFence(Optional<VersionedRecord> previous) {
        long previousFence = previous.map(p -> p.record.fence()).orElse(0L);
        if (era() == 0) {
            return previousFence + 1;
        }
        long version = previous.map(VersionedRecord::version).orElse(ObjectStore.ABSENT_VERSION);
        return Math.max(previousFence, (era() << ERA_SHIFT) + version) + 1;
    }

    /**
     * Renews the lease if it is held and about to expire. The lease may be released or lost before the caller acts on
     * the result; {@link #beginOrder} checks it again.
     *
     * <p>If the store is unavailable, orders may still be sent where replicas check fencing tokens, because a replica
     * then rejects the orders of a former holder itself.
     *
     * @return true if an order may be sent now, false if the lease is not held or could not be renewed
     */
    public Uni<Boolean> ensureValid() {
        if (!held) {
            return Uni.createFrom().item(false);
        }
        if (lease.remainingMillis() > MIN_REMAINING_MILLIS) {
            return Uni.createFrom().item(true);
        }
        if (pendingRenewal == null) {
            pendingRenewal = renew();
        }
        return fencesChecked && renewalFailed
                ? Uni.join()
                        .first(
                                pendingRenewal,
                                delays.after(RENEWAL_WAIT_AFTER_FAILURE).map(waited -> held))
                        .toTerminate()
                : pendingRenewal;
    }

    private Uni<Boolean> renew() {
        long acquisition = acquisitionCount;
        return write(fence, version)
                .map(sent -> {
                    if (held) {
                        lease.onGranted(sent, fence);
                    }
                    return held;
                })
                .onFailure()
                .recoverWithItem(failure -> acquisition == acquisitionCount && onRenewalFailure(failure))
                .onTermination()
                .invoke(() -> pendingRenewal = acquisition == acquisitionCount ? null : pendingRenewal)
                .memoize()
                .indefinitely();
    }

    /**
     * Registers an order that is about to be sent, so that the lease is released only after the order has ended.
     *
     * @return the permission to send one order, whose {@link OrderPermit#end} must be called; empty if the lease is not
     *     held, or has expired where replicas do not check fencing tokens
     */
    public Optional<OrderPermit> beginOrder() {
        if (!mayOrder()) {
            return Optional.empty();
        }
        if (ordersOnTheirWay++ == 0) {
            ordersEnded = new CompletableFuture<>();
        }
        return Optional.of(new OrderPermit());
    }

    private boolean mayOrder() {
        return held && (fencesChecked || lease.isValid());
    }

    /**
     * Releases the lease when all orders have ended, so that another entry can acquire it without waiting for it to
     * expire. If an order got no reply shortly before, the lease expires instead: the order may still arrive, after the
     * first one of the next holder.
     *
     * @return completes when the release is recorded, or when recording it has failed; never fails
     */
    public Uni<Void> release() {
        if (!held) {
            return Uni.createFrom().voidItem();
        }
        // A renewal in flight changes the version that the release must name.
        Uni<Boolean> renewalEnded = pendingRenewal == null ? Uni.createFrom().item(true) : pendingRenewal;
        markLost("released");
        long acquisition = acquisitionCount;
        return renewalEnded
                .flatMap(renewed -> Uni.createFrom().completionStage(ordersEnded))
                .flatMap(ended -> mayRecordRelease(acquisition)
                        ? recordRelease()
                        : Uni.createFrom().voidItem());
    }

    private boolean mayRecordRelease(long acquisition) {
        return acquisition == acquisitionCount
                && lastUnansweredMillis
                        .filter(sinceMillis -> clock.millis() - sinceMillis < MAX_ORDER_TRANSIT_TIME.toMillis())
                        .isEmpty();
    }

    private Uni<Void> recordRelease() {
        return store.write(
                        key(), version, Json.write(new LeaseRecord(self.value(), fence, writeCount + 1, true, era())))
                .replaceWithVoid()
                .onFailure()
                .recoverWithItem(failure -> {
                    LogEvent.ORDER_LEASE.log(group, false, fence, "release failed: " + failure.getMessage());
                    return null;
                });
    }

    /**
     * Records that this entry no longer holds the lease. Does nothing if it does not hold it.
     *
     * @param reason how the loss became known, for the log; not null
     */
    public void markLost(String reason) {
        if (held) {
            held = false;
            lease.onLost();
            LogEvent.ORDER_LEASE.log(group, false, fence, reason);
        }
    }

    /**
     * Checks whether this entry acquired the lease and knows of no later holder.
     *
     * @return true while the lease is held, even if it must be renewed before the next order
     */
    public boolean isHeld() {
        return held;
    }

    /**
     * Returns the fencing token that orders carry.
     *
     * @return the token of the last acquisition, at least 1; 0 if the lease was never acquired
     */
    public long fence() {
        return fence;
    }

    /**
     * Writes the record with a new write count: the store does not raise the version of an object whose value stays the
     * same, so a renewal must change the value.
     */
    private Uni<OrderLease.SendTime> write(long newFence, long expectedVersion) {
        OrderLease.SendTime sent = lease.sendTime();
        long acquisition = acquisitionCount;
        writeCount++;
        byte[] value = Json.write(new LeaseRecord(self.value(), newFence, writeCount, false, era()));
        return store.write(key(), expectedVersion, value)
                .onFailure(GroupLease::isAmbiguous)
                .recoverWithUni(() -> confirmWrite(newFence, expectedVersion))
                .map(newVersion -> {
                    if (acquisition != acquisitionCount) {
                        throw new StoreException(
                                StoreException.Kind.CONFLICT, "write of " + key() + " was answered too late");
                    }
                    version = newVersion;
                    fence = newFence;
                    renewalFailed = false;
                    return sent;
                });
    }

    /** Reads the record back to find out whether a write with an unknown outcome took effect. */
    private Uni<Long> confirmWrite(long newFence, long expectedVersion) {
        return store.read(key()).map(object -> {
            VersionedRecord current = object.map(this::decode).orElse(null);
            if (current != null
                    && current.version > expectedVersion
                    && current.record.holder().equals(self.value())
                    && current.record.fence() == newFence
                    && current.record.renewals() == writeCount) {
                return current.version;
            }
            throw new StoreException(StoreException.Kind.CONFLICT, "write of " + key() + " did not take effect");
        });
    }

    private boolean onRenewalFailure(Throwable failure) {
        if (failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT) {
            markLost("another entry acquired the lease");
            return false;
        }
        renewalFailed = true;
        LogEvent.ORDER_LEASE.log(group, true, fence, "renewal failed: " + failure.getMessage());
        return fencesChecked;
    }

    private String key() {
        return KEY_PREFIX + "group-" + group;
    }

    private static boolean isAmbiguous(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.AMBIGUOUS;
    }

    /**
     * Decodes a record. One that cannot be read, as another writer has replaced it, counts as expired. Each fencing token
     * was written at a revision of its own, so that the version of the object is at least as high as all of them.
     */
    private VersionedRecord decode(StoredObject object) {
        try {
            LeaseRecord record = Json.read(object.value(), LeaseRecord.class);
            if (record != null && record.holder() != null) {
                return new VersionedRecord(object.version(), record);
            }
        } catch (UncheckedIOException e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "", "cannot be decoded: " + e.getMessage());
        }
        return new VersionedRecord(object.version(), new LeaseRecord("unknown", object.version(), 0, false, era()));
    }

    /**
     * The permission to send one order under the lease.
     *
     * @since 0.2.0
     */
    public final class OrderPermit {

        private final long acquisition = acquisitionCount;
        private boolean ended;

        private OrderPermit() {}

        /**
         * Checks if the order may still be sent. Must be called just before its first byte is written, as the process
         * may have been suspended, or the lease released or lost, since the order was begun.
         *
         * @return true if the lease under which the order was begun is still held and has not expired
         */
        public boolean maySend() {
            return !ended && acquisition == acquisitionCount && mayOrder();
        }

        /**
         * Records that the order has ended. Has no effect if it had ended before.
         *
         * @param mayArriveLater whether the replica may still receive the order, as it did not reply
         */
        public void end(boolean mayArriveLater) {
            if (ended) {
                return;
            }
            ended = true;
            if (mayArriveLater) {
                lastUnansweredMillis = Optional.of(clock.millis());
            }
            if (--ordersOnTheirWay == 0) {
                ordersEnded.complete(null);
            }
        }
    }

    /**
     * A lease record with the version of the object that it was read from.
     *
     * @param version the object's version
     * @param record the content of the object, not null
     */
    public record VersionedRecord(long version, LeaseRecord record) {}

    /**
     * The content of a lease record, stored as JSON.
     *
     * @param holder the id of the entry that acquired the lease last, not null
     * @param fence the holder's fencing token
     * @param renewals the number of writes of this record by the holder since its process started
     * @param released whether the holder released the lease
     * @param era the number of the store's era in which the record was written, 0 if the store told none
     */
    public record LeaseRecord(String holder, long fence, long renewals, boolean released, long era) {}
}
