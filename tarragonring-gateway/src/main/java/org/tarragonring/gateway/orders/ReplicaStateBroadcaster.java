package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.Delays;
import org.tarragonring.time.MonotonicClock;

/**
 * Tells other entries the state of one replica, on behalf of the holder of its order lease.
 *
 * <p>What all entries route by, the models, goes to all of them at once. Adapters change many times a second, and each
 * one concerns few entries: a loaded adapter is told to those that asked for it, an evicted one to all, and the next
 * message to all contains both.
 *
 * <p>Not thread-safe.
 */
final class ReplicaStateBroadcaster {

    /** The delay after which a replica notice is sent a second time, because datagrams get lost. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(150);

    /** The shortest interval between broadcasts of a state that has not changed. */
    private static final Duration UNCHANGED_INTERVAL = Duration.ofSeconds(1);

    private final ReplicaCatalog catalog;
    private final Consumer<PeerMessage.ReplicaNotice> broadcaster;
    private final BiConsumer<EntryId, PeerMessage.ReplicaNotice> sender;
    private final MonotonicClock clock;
    private final Delays delays;
    private boolean repeatScheduled;
    private long broadcastMillis;

    /**
     * Creates a broadcaster.
     *
     * @param catalog the known replicas, not null
     * @param broadcaster sends a notice to all other entries, not null
     * @param sender sends a notice to one entry, not null
     * @param clock the monotonic clock, not null
     * @param delays schedules repetitions, not null
     */
    ReplicaStateBroadcaster(
            ReplicaCatalog catalog,
            Consumer<PeerMessage.ReplicaNotice> broadcaster,
            BiConsumer<EntryId, PeerMessage.ReplicaNotice> sender,
            MonotonicClock clock,
            Delays delays) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.broadcaster = Objects.requireNonNull(broadcaster, "broadcaster");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.delays = Objects.requireNonNull(delays, "delays");
        this.broadcastMillis = clock.millis() - UNCHANGED_INTERVAL.toMillis();
    }

    /** Sends the state now and again after a delay, and notifies the listeners of this entry's catalog. */
    void broadcast(ReplicaState replica) {
        broadcastOnce(replica);
        if (!repeatScheduled) {
            repeatScheduled = true;
            delays.after(REPEAT_DELAY).subscribe().with(done -> {
                repeatScheduled = false;
                sendToAll(replica);
            });
        }
    }

    /** Sends the state now, and notifies the listeners of this entry's catalog. */
    void broadcastOnce(ReplicaState replica) {
        catalog.notifyListeners();
        sendToAll(replica);
    }

    /** Sends a state that has not changed, which tells other entries that the holder follows the replica. */
    void broadcastUnchanged(ReplicaState replica) {
        if (clock.millis() - broadcastMillis >= UNCHANGED_INTERVAL.toMillis()) {
            broadcastOnce(replica);
        }
    }

    /** Sends the state to some entries, and notifies the listeners of this entry's catalog. */
    void send(ReplicaState replica, Iterable<EntryId> receivers) {
        catalog.notifyListeners();
        PeerMessage.ReplicaNotice notice = notice(replica);
        receivers.forEach(receiver -> sender.accept(receiver, notice));
    }

    /** Sends the state to an entry whose request shows that it does not know it. */
    void reply(ReplicaState replica, EntryId requester) {
        sender.accept(requester, notice(replica));
    }

    private void sendToAll(ReplicaState replica) {
        broadcastMillis = clock.millis();
        broadcaster.accept(notice(replica));
    }

    private PeerMessage.ReplicaNotice notice(ReplicaState replica) {
        return new PeerMessage.ReplicaNotice(
                replica.id(),
                replica.process().startMillis(),
                replica.process().software(),
                replica.acceptedOrders(),
                replica.residents(),
                replica.loading(),
                Math.max(0, replica.expectedLoadEndMillis() - clock.millis()));
    }
}
