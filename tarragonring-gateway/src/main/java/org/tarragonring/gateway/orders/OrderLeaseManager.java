package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Manages the order leases of all groups on this entry: announces the leases that it holds, tracks the holders of the
 * others, and takes over a lease whose holder has released it or failed.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class OrderLeaseManager {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(250);
    private static final Duration ANNOUNCE_PERIOD = Duration.ofMillis(800);

    /** A holder whose last announcement is older than this is considered failed. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(2_000);

    /** How long a starting entry only listens for announcements before it reads lease records from the store. */
    private static final Duration STARTUP_LISTEN_TIME = Duration.ofMillis(900);

    private final EntryId self;
    private final Mesh mesh;
    private final List<GroupLease> leases;
    private final Duration handoverDelay;
    private final BooleanSupplier storeReachable;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<Integer, Announcement> announcements = new HashMap<>();
    private final Map<Integer, PendingTakeover> pendingTakeovers = new HashMap<>();
    private final boolean[] storeRequestInProgress = new boolean[OrderGroups.GROUP_COUNT];
    private long startedAtMillis;
    private long announcedAtMillis;
    private IntConsumer onAcquired = group -> {};
    private boolean stopped;
    private boolean announcedWithoutStore;
    private Timers.Task periodicCheck = () -> {};

    /**
     * Creates a manager that holds no leases; {@link #start} starts it.
     *
     * @param self the id of this entry, not null
     * @param mesh sends messages to the other entries and receives theirs, not null
     * @param leases the leases, indexed by group number, not null
     * @param handoverDelay the minimum time between orders of two successive holders, not null
     * @param storeReachable returns whether this entry can reach the object store, not null
     * @param clock the monotonic clock, not null
     * @param timers runs periodic tasks, not null
     */
    public OrderLeaseManager(
            EntryId self,
            Mesh mesh,
            List<GroupLease> leases,
            Duration handoverDelay,
            BooleanSupplier storeReachable,
            MonotonicClock clock,
            Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.leases = List.copyOf(leases);
        this.handoverDelay = Objects.requireNonNull(handoverDelay, "handoverDelay");
        this.storeReachable = Objects.requireNonNull(storeReachable, "storeReachable");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Sets the action to run after this entry has acquired the lease of a group.
     *
     * @param action receives the group number, not null
     */
    public void onAcquired(IntConsumer action) {
        onAcquired = Objects.requireNonNull(action, "action");
    }

    /** Starts announcing held leases, listening for other holders and acquiring free leases. */
    public void start() {
        startedAtMillis = clock.millis();
        mesh.on(PeerMessage.AuthorityNotice.class, this::onNotice);
        periodicCheck = timers.scheduleWithFixedDelay(CHECK_PERIOD, this::checkGroups);
    }

    /** Stops acquiring leases and releases all that are held, so that other entries can acquire them immediately. */
    public void stop() {
        stopped = true;
        periodicCheck.cancel();
        leases.forEach(OrderLeaseManager::release);
    }

    private static void release(GroupLease lease) {
        lease.release()
                .subscribe()
                .with(done -> {}, failure -> LogEvent.UNEXPECTED_FAILURE.log("release of an order lease", failure));
    }

    /**
     * Returns the lease of a replica's group.
     *
     * @param replica the id of the replica, not null
     * @return the lease, whether or not this entry holds it; never null
     */
    public GroupLease leaseOf(UpstreamId replica) {
        return leases.get(OrderGroups.of(replica));
    }

    /**
     * Returns the entry that may send orders to a replica.
     *
     * @param replica the id of the replica, not null
     * @return the known holder of the lease of its group, or empty if no current holder is known
     */
    public Optional<EntryId> holderOf(UpstreamId replica) {
        int group = OrderGroups.of(replica);
        if (leases.get(group).isHeld()) {
            return Optional.of(self);
        }
        return Optional.ofNullable(announcements.get(group))
                .filter(this::isCurrent)
                .map(Announcement::holder);
    }

    /**
     * Returns the number of groups whose lease this entry holds.
     *
     * @return a count, 0 to {@link OrderGroups#GROUP_COUNT}
     */
    public int heldGroupCount() {
        return (int) leases.stream().filter(GroupLease::isHeld).count();
    }

    /**
     * Returns the known holder of each group's lease, for status pages.
     *
     * @return the id of the holder by group number, {@code nobody} if no current holder is known
     */
    public Map<Integer, String> holders() {
        Map<Integer, String> holders = new HashMap<>();
        for (int group = 0; group < leases.size(); group++) {
            Announcement last = announcements.get(group);
            String other = last != null && isCurrent(last) ? last.holder.value() : "nobody";
            holders.put(group, leases.get(group).isHeld() ? self.value() : other);
        }
        return holders;
    }

    private void onNotice(EntryId from, PeerMessage.AuthorityNotice notice) {
        mesh.setWithoutStore(from, notice.withoutStore());
        announcements.values().removeIf(a -> a.holder.equals(from));
        for (int group : notice.groups()) {
            announcements.put(group, new Announcement(from, clock.millis()));
            pendingTakeovers.remove(group);
        }
    }

    private void checkGroups() {
        long nowMillis = clock.millis();
        if (nowMillis - announcedAtMillis >= ANNOUNCE_PERIOD.toMillis()) {
            announce();
        }
        if (nowMillis - startedAtMillis < STARTUP_LISTEN_TIME.toMillis()) {
            return;
        }
        for (int group = 0; group < leases.size(); group++) {
            if (!leases.get(group).isHeld()
                    && !storeRequestInProgress[group]
                    && !isHeldElsewhere(group)
                    && isPreferredHolder(group)) {
                tryTakeOver(group);
            }
        }
    }

    private void announce() {
        announcedAtMillis = clock.millis();
        List<Integer> held = new ArrayList<>();
        for (int group = 0; group < leases.size(); group++) {
            if (leases.get(group).isHeld()) {
                held.add(group);
            }
        }
        boolean withoutStore = !storeReachable.getAsBoolean();
        mesh.setWithoutStore(self, withoutStore);
        boolean mustAnnounce = !held.isEmpty() || withoutStore != announcedWithoutStore || withoutStore;
        if (mustAnnounce && !stopped) {
            mesh.broadcast(new PeerMessage.AuthorityNotice(held, withoutStore));
        }
        announcedWithoutStore = withoutStore;
    }

    private boolean isPreferredHolder(int group) {
        return mesh.entryFor("order-group-" + group).equals(self);
    }

    private boolean isHeldElsewhere(int group) {
        Announcement last = announcements.get(group);
        return last != null && isCurrent(last);
    }

    private boolean isCurrent(Announcement last) {
        return mesh.isAlive(last.holder) && clock.millis() - last.receivedAtMillis < HOLDER_TIMEOUT.toMillis();
    }

    private void tryTakeOver(int group) {
        long era = leases.get(group).era();
        pendingTakeovers.values().removeIf(takeover -> takeover.era != era);
        PendingTakeover pending = pendingTakeovers.get(group);
        if (pending != null && clock.millis() < pending.acquireAtMillis) {
            return;
        }
        storeRequestInProgress[group] = true;
        if (pending != null) {
            acquire(group, pending.previous);
            return;
        }
        leases.get(group)
                .read()
                .subscribe()
                .with(previous -> onRead(group, previous), failure -> storeRequestInProgress[group] = false);
    }

    /**
     * Acquires a free lease at once. Otherwise schedules the takeover after the lease validity plus the handover delay:
     * a holder that has not renewed the lease by then cannot have sent an order for at least the handover delay. A
     * record that is absent is no proof of that until this time after the store came back from an older copy.
     */
    private void onRead(int group, Optional<GroupLease.VersionedRecord> previous) {
        if (stopped) {
            return;
        }
        GroupLease lease = leases.get(group);
        long takeoverMillis = GroupLease.VALIDITY.plus(handoverDelay).toMillis();
        long waitMillis = previous.isEmpty()
                ? takeoverMillis - lease.millisSinceRestore().orElse(takeoverMillis)
                : lease.isFree(previous.get().record()) ? 0 : takeoverMillis;
        if (waitMillis <= 0) {
            acquire(group, previous);
            return;
        }
        storeRequestInProgress[group] = false;
        pendingTakeovers.put(group, new PendingTakeover(previous, lease.era(), clock.millis() + waitMillis));
    }

    private void acquire(int group, Optional<GroupLease.VersionedRecord> previous) {
        pendingTakeovers.remove(group);
        leases.get(group).acquire(previous).subscribe().with(done -> onAcquired(group), failure -> {
            storeRequestInProgress[group] = false;
            LogEvent.ORDER_LEASE.log(group, false, 0, "acquisition failed: " + failure.getMessage());
        });
    }

    private void onAcquired(int group) {
        storeRequestInProgress[group] = false;
        if (stopped) {
            release(leases.get(group));
            return;
        }
        announce();
        onAcquired.accept(group);
    }

    /**
     * The last announcement by the holder of a lease.
     *
     * @param holder the entry that announced that it holds the lease
     * @param receivedAtMillis when the announcement arrived, on the monotonic clock
     */
    private record Announcement(EntryId holder, long receivedAtMillis) {}

    /**
     * The planned takeover of a lease whose holder appears to have failed.
     *
     * @param previous the record of that holder, empty if there is none
     * @param era the number of the store's era in which the record was read
     * @param acquireAtMillis when the lease may be acquired if the record has not changed, on the monotonic clock
     */
    private record PendingTakeover(Optional<GroupLease.VersionedRecord> previous, long era, long acquireAtMillis) {}
}
