package org.tarragonring.gateway.catalog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaAvailability;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps the state of all replicas in the replica list, which is read from the object store. Notifies listeners of
 * changes that may allow more calls to run.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaCatalog {

    /**
     * The time after which the store has removed the registration of a replica that no longer writes it, with a margin for
     * the requests by which this entry learns of it.
     */
    static final long EXPIRY_MILLIS = 6_000;

    private final MonotonicClock clock;
    private final Ejections ejections;
    private final Map<UpstreamId, ReplicaState> replicas = new HashMap<>();
    private final DepartedReplicas departed;
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<BiConsumer<UpstreamId, String>> failureListeners = new ArrayList<>();

    /** The times at which a replica of each version was last known to be listed. */
    private final Map<ServiceName, Map<SoftwareVersion, Long>> versionsSeenMillis = new HashMap<>();

    /** When a replica was last added. */
    private long addedMillis;

    /** When the store last came back from an older copy; before the start if it has not since. */
    private long restoredMillis;

    private BooleanSupplier listCurrent = () -> true;
    private Predicate<UpstreamId> leaseHeldByThisEntry = id -> false;

    /**
     * Creates an empty catalog.
     *
     * @param clock the monotonic clock, not null
     * @param ejections the replicas that get no calls because earlier calls to them failed, not null
     */
    public ReplicaCatalog(MonotonicClock clock, Ejections ejections) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ejections = Objects.requireNonNull(ejections, "ejections");
        this.departed = new DepartedReplicas(clock);
        this.restoredMillis = clock.millis() - EXPIRY_MILLIS;
    }

    /** Records that the store has come back from an older copy, which may list replicas that were removed since. */
    public void onStoreRestored() {
        restoredMillis = clock.millis();
    }

    /**
     * Adds a change listener.
     *
     * @param listener runs after each change of a replica or of the configuration, not null
     */
    public void addChangeListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener for failures of replicas.
     *
     * @param listener receives the id of each replica that failed or restarted without draining, and the reason; not
     *     null
     */
    public void addFailureListener(BiConsumer<UpstreamId, String> listener) {
        failureListeners.add(listener);
    }

    /**
     * Sets the check whether this entry holds the order lease of a replica. What such a replica holds is determined
     * only by its reports and the orders that it accepted, not by the replica list or notices of other entries.
     *
     * @param predicate returns whether this entry holds the order lease of a replica, not null
     */
    public void setLeaseHeldByThisEntry(Predicate<UpstreamId> predicate) {
        leaseHeldByThisEntry = Objects.requireNonNull(predicate, "predicate");
    }

    /**
     * Sets the check whether this entry knows all changes of the replica list but the newest ones.
     *
     * @param supplier returns false while the store does not respond to this entry, not null
     */
    public void setListCurrent(BooleanSupplier supplier) {
        listCurrent = Objects.requireNonNull(supplier, "supplier");
    }

    /**
     * Checks whether this entry knows all changes of the replica list but the newest ones.
     *
     * @return false while the store does not respond to this entry
     */
    public boolean isListCurrent() {
        return listCurrent.getAsBoolean();
    }

    /**
     * Checks whether all replicas that run are expected to be listed.
     *
     * @return false until no replica has been added for the maximum age of a registration
     */
    public boolean isListSettled() {
        return clock.millis() - addedMillis >= ReplicaState.MAX_LIST_LAG_MILLIS;
    }

    /**
     * Returns the process that a replica runs now, as far as it is known.
     *
     * @param replica the replica, not null
     * @return the process; its software is unknown while the replica list may be out of date, as the replica may have
     *     started again with other software
     */
    public ReplicaProcess runningProcess(ReplicaState replica) {
        return isListCurrent() ? replica.process() : replica.process().withoutSoftware();
    }

    /**
     * Returns the versions of which a replica was listed lately.
     *
     * @param sinceMillis a time on the monotonic clock in milliseconds
     * @return the versions of each service that were last seen after that time; a new map
     */
    public Map<ServiceName, Set<SoftwareVersion>> versionsListedSince(long sinceMillis) {
        Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
        versionsSeenMillis.forEach((service, seen) -> seen.forEach((version, seenMillis) -> {
            if (seenMillis > sinceMillis) {
                versions.computeIfAbsent(service, name -> new HashSet<>()).add(version);
            }
        }));
        return versions;
    }

    /**
     * Adds a replica, or updates a known one, from its registration in the replica list. After a restore of the
     * store, ignores the registration of a process that another one of the replica has replaced.
     *
     * @param listed the registration, not null
     */
    public void put(ListedReplica listed) {
        if (millisOfOlderCopy() > 0 && isOfEarlierProcess(listed)) {
            return;
        }
        onVersionSeen(listed);
        ReplicaState known = replicas.get(listed.id());
        if (known != null) {
            onVersionSeen(known.listed());
        }
        boolean changed = true;
        if (known == null) {
            ReplicaState added = new ReplicaState(listed, availabilityOf(listed), clock);
            addedMillis = clock.millis();
            replicas.put(listed.id(), added);
            if (added.availability().isLeaving()) {
                LogEvent.REPLICA_DRAINING.log(listed.id(), listed.service(), "registration");
            }
            LogEvent.REPLICA_LISTED.log(
                    listed.id(),
                    listed.service(),
                    listed.address(),
                    added.residents().keySet(),
                    added.localCheckpoints());
        } else {
            boolean wasLeaving = known.availability().isLeaving();
            boolean restarted = listed.holdings().processStartMillis()
                    > known.listed().holdings().processStartMillis();
            if (restarted && !wasLeaving) {
                notifyFailureListeners(listed.id(), "it registered as a new process");
            }
            boolean sameListing = listed.address().equals(known.listed().address())
                    && listed.service().equals(known.listed().service())
                    && !restarted;
            boolean sameState = !updateFromElsewhere(
                    known, "registration", () -> known.onListed(listed, !leaseHeldByThisEntry.test(listed.id())));
            if (known.availability().isLeaving() && !wasLeaving) {
                LogEvent.REPLICA_DRAINING.log(listed.id(), listed.service(), "registration");
            }
            changed = !sameListing || !sameState || known.availability().isLeaving() != wasLeaving;
        }
        // Most registrations are heartbeats, for which no waiting call need be looked at.
        if (changed) {
            notifyListeners();
        }
    }

    private boolean isOfEarlierProcess(ListedReplica listed) {
        long startMillis = listed.holdings().processStartMillis();
        ReplicaState known = replicas.get(listed.id());
        return known == null
                ? departed.find(listed.id())
                        .filter(replica -> replica.availability().isNewerThan(startMillis))
                        .isPresent()
                : startMillis < known.listed().holdings().processStartMillis();
    }

    /**
     * Returns what is known of the availability of a replica that is added to the list. One whose registration was removed
     * before the store came back from an older copy gets no calls until the store would have removed it again.
     */
    private ReplicaAvailability availabilityOf(ListedReplica listed) {
        Optional<DepartedReplicas.Departed> known = departed.remove(listed.id());
        if (known.isEmpty()) {
            return new ReplicaAvailability(clock);
        }
        ReplicaAvailability availability = known.get().availability();
        long startMillis = listed.holdings().processStartMillis();
        if (availability.isOfProcess(startMillis) && known.get().removedMillis() < restoredMillis) {
            availability.pauseFor(Duration.ofMillis(millisOfOlderCopy()));
        }
        return availability;
    }

    /** Returns for how long the list may still contain registrations that were removed or replaced before a restore. */
    private long millisOfOlderCopy() {
        return Math.max(0, restoredMillis + EXPIRY_MILLIS - clock.millis());
    }

    /**
     * Removes a replica. Does nothing if it is unknown.
     *
     * @param id the id of the replica, not null
     */
    public void remove(UpstreamId id) {
        ReplicaState removed = replicas.remove(id);
        if (removed != null) {
            onVersionSeen(removed.listed());
            departed.add(id, removed.availability());
            LogEvent.REPLICA_REMOVED.log(id);
            if (!removed.availability().isLeaving()) {
                notifyFailureListeners(id, "its registration was removed");
            }
            notifyListeners();
        }
    }

    /**
     * Records that a replica is about to shut down, so that it gets no new calls and no loads.
     *
     * @param id the id of the replica, not null
     * @param processStartMillis the start time of the process that has told so, in Unix milliseconds
     * @param source how this became known, for the log; not null
     * @return true if this was not known
     */
    public boolean markLeaving(UpstreamId id, long processStartMillis, String source) {
        ReplicaState replica = replicas.get(id);
        if (replica == null) {
            return departed.markLeaving(id, processStartMillis);
        }
        if (!replica.availability().onLeaving(processStartMillis)) {
            return false;
        }
        LogEvent.REPLICA_DRAINING.log(id, replica.listed().service(), source);
        notifyListeners();
        return true;
    }

    /**
     * Updates a replica from a notice of the holder of its order lease. Ignores notices of unknown replicas and of
     * those whose order lease this entry holds.
     *
     * @param notice the notice, not null
     */
    public void onNotice(PeerMessage.ReplicaNotice notice) {
        ReplicaState replica = replicas.get(notice.replica());
        if (replica != null && !leaseHeldByThisEntry.test(notice.replica())) {
            updateFromElsewhere(
                    replica,
                    "lease holder",
                    () -> replica.onOrderState(
                            new ReplicaProcess(notice.replica(), notice.bornMillis(), notice.software()),
                            notice.sequence(),
                            notice.residents(),
                            notice.loading(),
                            clock.millis() + notice.loadingMillis()));
            notifyListeners();
        }
    }

    /**
     * Runs an update of a replica's known state, and logs the new state if the resident models or the model being
     * loaded have changed.
     *
     * @param replica the replica, not null
     * @param source where the update comes from, for the log; not null
     * @param change updates the replica, not null
     * @return true if the resident models, their adapters or the model being loaded have changed
     */
    public boolean update(ReplicaState replica, String source, Runnable change) {
        return update(replica, source, change, true);
    }

    /**
     * Does not log the changes if the update comes from elsewhere: at every entry, they would be most of the log, and the
     * holder of the order lease has logged them.
     */
    private boolean updateFromElsewhere(ReplicaState replica, String source, Runnable change) {
        return update(replica, source, change, false);
    }

    private boolean update(ReplicaState replica, String source, Runnable change, boolean logs) {
        Map<ModelName, Set<String>> before = replica.residents();
        Optional<ModelName> loadingBefore = replica.loading();
        change.run();
        boolean changed = !before.equals(replica.residents()) || !loadingBefore.equals(replica.loading());
        if (changed && logs) {
            LogEvent.REPLICA_STATE_UPDATED.log(
                    replica.id(),
                    replica.residents(),
                    replica.loading().map(ModelName::value).orElse("nothing"),
                    replica.acceptedOrders(),
                    source);
        }
        return changed;
    }

    private void notifyFailureListeners(UpstreamId replica, String reason) {
        failureListeners.forEach(listener -> listener.accept(replica, reason));
    }

    /** Runs the change listeners, because calls may be able to run now that were not before. */
    public void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    /**
     * Finds a replica.
     *
     * @param id the id of the replica, not null
     * @return its state, or empty if it is not listed
     */
    public Optional<ReplicaState> find(UpstreamId id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /**
     * Returns all listed replicas.
     *
     * @return their states, in no particular order; a live view
     */
    public Collection<ReplicaState> all() {
        return replicas.values();
    }

    /**
     * Returns the replicas of a service that serve.
     *
     * @param service the service, not null
     * @return its replicas that are neither leaving nor ejected, also those that get no calls for some time
     */
    public List<ReplicaState> serving(ServiceName service) {
        return replicas.values().stream()
                .filter(r -> r.listed().service().equals(service) && isServing(r))
                .toList();
    }

    /**
     * Returns the replicas of a service that may get calls.
     *
     * @param service the service, not null
     * @return its replicas that serve and have not asked for a pause
     */
    public List<ReplicaState> usable(ServiceName service) {
        return serving(service).stream()
                .filter(r -> r.availability().pauseMillis() == 0)
                .toList();
    }

    /**
     * Returns how long no replica of a service may get calls, because all of them have asked for a pause.
     *
     * @param service the service, not null
     * @return the shortest of the remaining times, empty if a replica may get calls or none serves
     */
    public Optional<Duration> pause(ServiceName service) {
        return serving(service).stream()
                .map(replica -> replica.availability().pauseMillis())
                .min(Comparator.naturalOrder())
                .filter(millis -> millis > 0)
                .map(Duration::ofMillis);
    }

    /** Records that a replica of a version is or was listed until now. */
    private void onVersionSeen(ListedReplica listed) {
        versionsSeenMillis
                .computeIfAbsent(listed.service(), service -> new HashMap<>())
                .put(listed.software(), clock.millis());
    }

    /**
     * Returns the replicas that are not draining but have been ejected by this entry.
     *
     * @return their ids
     */
    public List<UpstreamId> ejected() {
        return replicas.keySet().stream()
                .filter(id -> !replicas.get(id).availability().isLeaving() && !ejections.isAvailable(id))
                .toList();
    }

    /**
     * Returns the replicas that can run a call now.
     *
     * @param weights the service, model and adapter that the call needs, not null
     * @return the usable replicas that hold the model and the adapter
     */
    public List<ReplicaState> ableToRun(WeightKey weights) {
        return usable(weights.service()).stream()
                .filter(r -> r.canRun(weights.model(), weights.adapter()))
                .toList();
    }

    /**
     * Checks whether a replica may get calls now.
     *
     * @param replica the replica, not null
     * @return false if it is no longer listed, is leaving, is ejected or has asked for a pause
     */
    public boolean isUsable(ReplicaState replica) {
        return isServing(replica) && replica.availability().pauseMillis() == 0;
    }

    private boolean isServing(ReplicaState replica) {
        return replicas.get(replica.id()) == replica
                && !replica.availability().isLeaving()
                && ejections.isAvailable(replica.id());
    }

    /**
     * Describes the replicas for status pages.
     *
     * @return one line of text per replica, by id
     */
    public Map<String, String> describe() {
        Map<String, String> lines = new HashMap<>();
        replicas.values()
                .forEach(r -> lines.put(
                        r.id().value(),
                        "service %s, usable %s, in flight %d, orders %d, holds %s, loads %s"
                                .formatted(
                                        r.listed().service(),
                                        isUsable(r),
                                        r.inFlight(),
                                        r.acceptedOrders(),
                                        r.residents(),
                                        r.loading().map(ModelName::value).orElse("nothing"))));
        return lines;
    }
}
