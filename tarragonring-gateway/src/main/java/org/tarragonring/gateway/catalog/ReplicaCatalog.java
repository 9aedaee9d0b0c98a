package org.tarragonring.gateway.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps the replicas that the list names and tells listeners when one can run more than before.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class ReplicaCatalog {

    private final MonotonicClock clock;
    private final Ejections ejections;
    private final Map<UpstreamId, ReplicaState> replicas = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private Predicate<UpstreamId> orderedHere = id -> false;

    /**
     * Creates an empty catalog.
     *
     * @param clock the monotonic clock, not null
     * @param ejections tells which replicas fail, not null
     */
    public ReplicaCatalog(MonotonicClock clock, Ejections ejections) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ejections = Objects.requireNonNull(ejections, "ejections");
    }

    /**
     * Adds a listener.
     *
     * @param listener runs after each change, not null
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Sets which replicas this entry orders. Of these its own orders and their reports alone tell what they hold.
     *
     * @param test checks a replica, not null
     */
    public void setOrderedHere(Predicate<UpstreamId> test) {
        orderedHere = Objects.requireNonNull(test, "test");
    }

    /**
     * Takes an entry of the list.
     *
     * @param listed the entry, not null
     */
    public void put(ListedReplica listed) {
        ReplicaState known = replicas.get(listed.id());
        if (known == null) {
            ReplicaState added = new ReplicaState(listed, clock);
            replicas.put(listed.id(), added);
            LogEvent.REPLICA_LISTED.log(
                    listed.id(),
                    listed.service(),
                    listed.address(),
                    added.residents().keySet(),
                    added.copies());
        } else {
            if (listed.draining() && !known.listed().draining()) {
                LogEvent.REPLICA_DRAINING.log(listed.id(), listed.service());
            }
            update(known, "list entry", () -> known.onListed(listed, !orderedHere.test(listed.id())));
        }
        changed();
    }

    /**
     * Takes a replica out.
     *
     * @param id the replica, not null
     */
    public void remove(UpstreamId id) {
        if (replicas.remove(id) != null) {
            LogEvent.REPLICA_GONE.log(id);
            changed();
        }
    }

    /**
     * Takes what the holder of a replica's order lease says.
     *
     * @param notice the notice, not null
     */
    public void onNotice(PeerMessage.ReplicaNotice notice) {
        ReplicaState replica = replicas.get(notice.replica());
        if (replica != null && !orderedHere.test(notice.replica())) {
            update(
                    replica,
                    "orders",
                    () -> replica.onOrders(
                            notice.bornMillis(),
                            notice.sequence(),
                            notice.residents(),
                            notice.loading(),
                            clock.millis() + notice.loadingMillis()));
            changed();
        }
    }

    /**
     * Changes what is believed of a replica, and logs the change if there is one.
     *
     * @param replica the replica, not null
     * @param source where the news comes from, not null
     * @param change takes the news, not null
     */
    public void update(ReplicaState replica, String source, Runnable change) {
        Map<ModelName, Set<String>> before = replica.residents();
        Optional<ModelName> loadingBefore = replica.loading();
        change.run();
        if (!before.equals(replica.residents()) || !loadingBefore.equals(replica.loading())) {
            LogEvent.REPLICA_BELIEF.log(
                    replica.id(),
                    replica.residents(),
                    replica.loading().map(ModelName::value).orElse("nothing"),
                    replica.orders(),
                    source);
        }
    }

    /** Tells the listeners that something may be possible now that was not before. */
    public void changed() {
        listeners.forEach(Runnable::run);
    }

    /**
     * Finds a replica.
     *
     * @param id the replica, not null
     * @return its state, or empty if the list does not name it
     */
    public Optional<ReplicaState> find(UpstreamId id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /**
     * Returns all replicas that the list names.
     *
     * @return their states
     */
    public Collection<ReplicaState> all() {
        return replicas.values();
    }

    /**
     * Returns the replicas of a service that may get work.
     *
     * @param service the service, not null
     * @return those that neither leave nor fail
     */
    public List<ReplicaState> usable(ServiceName service) {
        return replicas.values().stream()
                .filter(r -> r.listed().service().equals(service) && isUsable(r))
                .toList();
    }

    /**
     * Returns the replicas that the list names as usable and that fail here.
     *
     * @return their ids
     */
    public List<UpstreamId> failing() {
        return replicas.keySet().stream()
                .filter(id -> !replicas.get(id).listed().draining() && !ejections.isAvailable(id))
                .toList();
    }

    /**
     * Returns the replicas that can run a call now.
     *
     * @param weights what the call needs, not null
     * @return those that hold it and may get work
     */
    public List<ReplicaState> holding(WeightKey weights) {
        return usable(weights.service()).stream()
                .filter(r -> r.canRun(weights.model(), weights.adapter()))
                .toList();
    }

    /**
     * Checks if a replica may get work now.
     *
     * @param replica the replica, not null
     * @return false if it left the list, is leaving or fails
     */
    public boolean isUsable(ReplicaState replica) {
        return replicas.get(replica.id()) == replica
                && !replica.listed().draining()
                && ejections.isAvailable(replica.id());
    }

    /**
     * Describes the replicas.
     *
     * @return a line for each, by id
     */
    public Map<String, String> state() {
        Map<String, String> state = new HashMap<>();
        replicas.values()
                .forEach(r -> state.put(
                        r.id().value(),
                        "service %s, usable %s, in flight %d, orders %d, holds %s, loads %s"
                                .formatted(
                                        r.listed().service(),
                                        isUsable(r),
                                        r.inFlight(),
                                        r.orders(),
                                        r.residents(),
                                        r.loading().map(ModelName::value).orElse("nothing"))));
        return state;
    }
}
