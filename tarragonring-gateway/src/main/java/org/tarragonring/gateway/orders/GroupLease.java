package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;

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
 * Takes, renews and gives up the order lease of one group through its record in the store.
 *
 * <p>The lease is renewed only when an order is to be sent, so that a group without orders costs no calls.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class GroupLease {

    /** The kind of the lease records. */
    static final String PREFIX = "tarragonring-order-leases/";

    /** How long a renewal holds; with the turn between two holders it decides how long a group is without orders. */
    static final Duration VALIDITY = Duration.ofMillis(1_500);

    /** Below this an order would be sent so close to the lease's end that it might arrive after it. */
    private static final long MIN_REMAINING_MILLIS = 400;

    /**
     * How long orders wait for a renewal while the last one failed: a store that is back answers sooner, and one that stays
     * silent must not hold up every order.
     */
    private static final Duration RENEWAL_WAIT_WITHOUT_STORE = Duration.ofMillis(250);

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
    private long renewals;

    /** The renewal under way, which all orders that need it wait for; null if there is none. */
    private Uni<Boolean> renewing;

    /**
     * Creates a lease that is not held.
     *
     * @param group the group
     * @param self this entry, not null
     * @param fencesChecked whether replicas refuse orders with an old fencing number
     * @param store where the record lies, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the wall clock, not null
     * @param delays waits, not null
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
        this.lease = new OrderLease(clock, wallClock, VALIDITY);
        this.delays = Objects.requireNonNull(delays, "delays");
    }

    /**
     * Reads the record.
     *
     * @return who holds the lease under which version of the record, or empty if nobody ever did
     */
    public Uni<Optional<Found>> read() {
        return store.read(key()).map(found -> found.map(GroupLease::decode));
    }

    /**
     * Takes the lease if its record is still the one that was read.
     *
     * @param found the record as it was read, empty if there was none
     * @return completes when the lease is held
     */
    public Uni<Void> take(Optional<Found> found) {
        long newFence = found.map(f -> f.record.fence()).orElse(0L) + 1;
        long expected = found.map(Found::version).orElse(ObjectStore.ABSENT_VERSION);
        return write(newFence, expected).invoke(done -> {
            held = true;
            LogEvent.ORDER_LEASE.log(
                    group,
                    true,
                    newFence,
                    "taken from " + found.map(f -> f.record.holder()).orElse("nobody"));
        });
    }

    /**
     * Makes sure that the lease holds long enough to send an order.
     *
     * @return true if an order may be sent now
     */
    public Uni<Boolean> ensure() {
        if (!held) {
            return Uni.createFrom().item(false);
        }
        if (lease.remainingMillis() > MIN_REMAINING_MILLIS) {
            return Uni.createFrom().item(true);
        }
        if (renewing == null) {
            renewing = write(fence, version)
                    .map(done -> true)
                    .onFailure()
                    .recoverWithItem(this::onRenewalFailure)
                    .onTermination()
                    .invoke(() -> renewing = null)
                    .memoize()
                    .indefinitely();
        }
        return fencesChecked && renewalFailed
                ? Uni.join()
                        .first(
                                renewing,
                                delays.after(RENEWAL_WAIT_WITHOUT_STORE).map(waited -> held))
                        .toTerminate()
                : renewing;
    }

    /**
     * Gives the lease up, so that another entry can take it at once.
     *
     * @return completes when the record says so, or could not be written
     */
    public Uni<Void> release() {
        if (!held) {
            return Uni.createFrom().voidItem();
        }
        lost("released");
        return store.write(key(), version, Json.write(new LeaseRecord(self.value(), fence, renewals + 1, true)))
                .replaceWithVoid()
                .onFailure()
                .recoverWithItem(failure -> {
                    LogEvent.ORDER_LEASE.log(group, false, fence, "release failed: " + failure.getMessage());
                    return null;
                });
    }

    /**
     * Notes that another entry holds the lease.
     *
     * @param reason why this is known, not null
     */
    public void lost(String reason) {
        if (held) {
            held = false;
            lease.onLost();
            LogEvent.ORDER_LEASE.log(group, false, fence, reason);
        }
    }

    /**
     * Checks if this entry took the lease and does not know of a later holder.
     *
     * @return true while it is held, also if a renewal is due
     */
    public boolean isHeld() {
        return held;
    }

    /**
     * Returns the fencing number that orders carry.
     *
     * @return the number of this holding
     */
    public long fence() {
        return fence;
    }

    /** Writes the record with a new number of renewals, since a write that changes nothing keeps the version. */
    private Uni<Void> write(long newFence, long expected) {
        OrderLease.SendTime sent = lease.sendTime();
        renewals++;
        byte[] value = Json.write(new LeaseRecord(self.value(), newFence, renewals, false));
        return store.write(key(), expected, value)
                .onFailure(GroupLease::isAmbiguous)
                .recoverWithUni(() -> readBack(newFence, expected))
                .invoke(newVersion -> {
                    version = newVersion;
                    fence = newFence;
                    renewalFailed = false;
                    lease.onGranted(sent, newFence);
                })
                .replaceWithVoid();
    }

    /** Looks if a write whose answer was lost took effect. */
    private Uni<Long> readBack(long newFence, long expected) {
        return store.read(key()).map(found -> {
            Found now = found.map(GroupLease::decode).orElse(null);
            if (now != null
                    && now.version > expected
                    && now.record.holder().equals(self.value())
                    && now.record.fence() == newFence
                    && now.record.renewals() == renewals) {
                return now.version;
            }
            throw new StoreException(StoreException.Kind.CONFLICT, "write of " + key() + " did not take effect");
        });
    }

    private boolean onRenewalFailure(Throwable failure) {
        if (failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT) {
            lost("another entry took it");
            return false;
        }
        renewalFailed = true;
        LogEvent.ORDER_LEASE.log(group, true, fence, "renewal failed: " + failure.getMessage());
        return fencesChecked;
    }

    private String key() {
        return PREFIX + "group-" + group;
    }

    private static boolean isAmbiguous(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.AMBIGUOUS;
    }

    private static Found decode(StoredObject object) {
        return new Found(object.version(), Json.read(object.value(), LeaseRecord.class));
    }

    /**
     * A lease record as it was read.
     *
     * @param version the object's version
     * @param record what it says, not null
     */
    public record Found(long version, LeaseRecord record) {}

    /**
     * What a lease record says.
     *
     * @param holder the entry that took the lease last, not null
     * @param fence its fencing number
     * @param renewals the number of its writes in this life of its process
     * @param released whether it gave the lease up
     */
    public record LeaseRecord(String holder, long fence, long renewals, boolean released) {}
}
