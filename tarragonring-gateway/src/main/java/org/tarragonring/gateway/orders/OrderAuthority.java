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
 * Holds the order leases of some groups, knows who holds the others, and takes over those whose holder is gone.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class OrderAuthority {

    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration ANNOUNCE_PERIOD = Duration.ofMillis(800);

    /** A holder that was not heard of for this long is taken as gone. */
    private static final Duration HOLDER_SILENCE = Duration.ofMillis(2_000);

    /** How long a starting entry listens for holders before it looks into the records. */
    private static final Duration FIRST_LISTEN = Duration.ofMillis(900);

    private final EntryId self;
    private final Mesh mesh;
    private final List<GroupLease> leases;
    private final Duration turn;
    private final BooleanSupplier storeReached;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<Integer, Heard> heard = new HashMap<>();
    private final Map<Integer, Watched> watched = new HashMap<>();
    private final boolean[] busy = new boolean[OrderGroups.COUNT];
    private long startedMillis;
    private long announcedMillis;
    private IntConsumer onTaken = group -> {};
    private boolean leaving;
    private boolean saidWithoutStore;
    private Timers.Task ticking = () -> {};

    /**
     * Creates an authority that does not run yet.
     *
     * @param self this entry, not null
     * @param mesh the other entries, not null
     * @param leases the lease of each group, not null
     * @param turn the least time between orders of two holders, not null
     * @param storeReached tells whether this entry reaches the store, not null
     * @param clock the monotonic clock, not null
     * @param timers runs periodic work, not null
     */
    public OrderAuthority(
            EntryId self,
            Mesh mesh,
            List<GroupLease> leases,
            Duration turn,
            BooleanSupplier storeReached,
            MonotonicClock clock,
            Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.leases = List.copyOf(leases);
        this.turn = Objects.requireNonNull(turn, "turn");
        this.storeReached = Objects.requireNonNull(storeReached, "storeReached");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Sets what runs when this entry has taken the lease of a group.
     *
     * @param action takes the group, not null
     */
    public void onTaken(IntConsumer action) {
        onTaken = Objects.requireNonNull(action, "action");
    }

    /** Starts to take leases. */
    public void start() {
        startedMillis = clock.millis();
        mesh.on(PeerMessage.AuthorityNotice.class, this::onNotice);
        ticking = timers.repeat(TICK, this::tick);
    }

    /**
     * Gives all leases up, so that other entries can take them at once.
     */
    public void leave() {
        leaving = true;
        ticking.cancel();
        for (GroupLease lease : leases) {
            lease.release()
                    .subscribe()
                    .with(done -> {}, failure -> LogEvent.UNEXPECTED_FAILURE.log("release", failure));
        }
    }

    /**
     * Returns the lease of a replica's group.
     *
     * @param replica the replica, not null
     * @return the lease, held or not
     */
    public GroupLease leaseOf(UpstreamId replica) {
        return leases.get(OrderGroups.of(replica));
    }

    /**
     * Finds the entry that may order a replica.
     *
     * @param replica the replica, not null
     * @return the entry that holds the lease of its group as far as is known, or empty
     */
    public Optional<EntryId> holderOf(UpstreamId replica) {
        int group = OrderGroups.of(replica);
        if (leases.get(group).isHeld()) {
            return Optional.of(self);
        }
        return Optional.ofNullable(heard.get(group)).filter(this::isPresent).map(Heard::holder);
    }

    /**
     * Returns the number of groups that this entry holds.
     *
     * @return a count
     */
    public int heldGroups() {
        return (int) leases.stream().filter(GroupLease::isHeld).count();
    }

    /**
     * Describes who holds each group as far as is known.
     *
     * @return the holder or {@code nobody}, by group
     */
    public Map<Integer, String> state() {
        Map<Integer, String> state = new HashMap<>();
        for (int group = 0; group < leases.size(); group++) {
            Heard last = heard.get(group);
            String other = last != null && isPresent(last) ? last.holder.value() : "nobody";
            state.put(group, leases.get(group).isHeld() ? self.value() : other);
        }
        return state;
    }

    private void onNotice(EntryId from, PeerMessage.AuthorityNotice notice) {
        mesh.setWithoutStore(from, notice.withoutStore());
        heard.values().removeIf(h -> h.holder.equals(from));
        for (int group : notice.groups()) {
            heard.put(group, new Heard(from, clock.millis()));
            watched.remove(group);
        }
    }

    private void tick() {
        long now = clock.millis();
        if (now - announcedMillis >= ANNOUNCE_PERIOD.toMillis()) {
            announce();
        }
        if (now - startedMillis < FIRST_LISTEN.toMillis()) {
            return;
        }
        for (int group = 0; group < leases.size(); group++) {
            if (!leases.get(group).isHeld() && !busy[group] && !isHeldElsewhere(group) && isMine(group)) {
                lookAt(group);
            }
        }
    }

    private void announce() {
        announcedMillis = clock.millis();
        List<Integer> held = new ArrayList<>();
        for (int group = 0; group < leases.size(); group++) {
            if (leases.get(group).isHeld()) {
                held.add(group);
            }
        }
        boolean withoutStore = !storeReached.getAsBoolean();
        mesh.setWithoutStore(self, withoutStore);
        boolean isNews = !held.isEmpty() || withoutStore != saidWithoutStore || withoutStore;
        if (isNews && !leaving) {
            mesh.broadcast(new PeerMessage.AuthorityNotice(held, withoutStore));
        }
        saidWithoutStore = withoutStore;
    }

    private boolean isMine(int group) {
        return mesh.entryFor("order-group-" + group).equals(self);
    }

    private boolean isHeldElsewhere(int group) {
        Heard last = heard.get(group);
        return last != null && isPresent(last);
    }

    private boolean isPresent(Heard last) {
        return mesh.isAlive(last.holder) && clock.millis() - last.atMillis < HOLDER_SILENCE.toMillis();
    }

    private void lookAt(int group) {
        Watched seen = watched.get(group);
        if (seen != null && clock.millis() < seen.takeAtMillis) {
            return;
        }
        busy[group] = true;
        if (seen != null) {
            take(group, Optional.of(seen.found));
            return;
        }
        leases.get(group).read().subscribe().with(found -> onRead(group, found), failure -> busy[group] = false);
    }

    /** Takes a lease that is free, or waits until its holder can no longer have ordered anything for a whole turn. */
    private void onRead(int group, Optional<GroupLease.Found> found) {
        boolean isFree = found.isEmpty()
                || found.get().record().released()
                || found.get().record().holder().equals(self.value());
        if (isFree) {
            take(group, found);
            return;
        }
        busy[group] = false;
        long takeAtMillis = clock.millis() + GroupLease.VALIDITY.toMillis() + turn.toMillis();
        watched.put(group, new Watched(found.get(), takeAtMillis));
    }

    private void take(int group, Optional<GroupLease.Found> found) {
        watched.remove(group);
        leases.get(group)
                .take(found)
                .subscribe()
                .with(
                        done -> {
                            busy[group] = false;
                            announce();
                            onTaken.accept(group);
                        },
                        failure -> {
                            busy[group] = false;
                            LogEvent.ORDER_LEASE.log(group, false, 0, "not taken: " + failure.getMessage());
                        });
    }

    /**
     * The last word of a holder.
     *
     * @param holder the entry that said it holds the lease
     * @param atMillis when
     */
    private record Heard(EntryId holder, long atMillis) {}

    /**
     * A record of a holder that is gone.
     *
     * @param found the record
     * @param takeAtMillis when the lease may be taken if the record is unchanged
     */
    private record Watched(GroupLease.Found found, long takeAtMillis) {}
}
