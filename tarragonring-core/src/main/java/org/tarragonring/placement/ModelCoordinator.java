package org.tarragonring.placement;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.Model;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.StoreException;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Coordinates the replicas of one model on the model's home entry: converts the demand reported by all
 * entries into loads and unloads, and sends the entries the locations of the replicas.
 *
 * <p>If two entries both act as the home entry of a model, the result is extra work but no inconsistency, because every
 * decision is a conditional update of the model's record.
 *
 * @since 0.1.0
 */
public final class ModelCoordinator {

    private static final Duration MIN_REFRESH_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);
    private static final Duration FAILED_QUERY_REPEAT_INTERVAL = Duration.ofMillis(250);
    private static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(4);
    private static final Duration INITIAL_LOAD_BACKOFF = Duration.ofMillis(500);
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final Duration MIN_ETA = Duration.ofMillis(200);
    private static final Duration RETRY_AFTER_LOAD_FAILURE = Duration.ofSeconds(5);

    private final ModelName name;
    private final CoordinatorContext context;
    private final ReplicaOperations operations;
    private final long createdAtMillis;
    private final ReentrantLock lock = new ReentrantLock();
    private final ModelDemand demand = new ModelDemand();
    /** Since when the status queries of upstreams have failed without a success in between. */
    private final Map<UpstreamId, Long> failingSinceMillis = new ConcurrentHashMap<>();

    private final List<LoadAttempt> attempts = new ArrayList<>();
    private List<ReplicaView> recordedReplicas = List.of();
    private long recordVersion = -1;
    private long refreshedAtMillis = Long.MIN_VALUE / 2;
    private long surplusSinceMillis = -1;
    private boolean refreshing;
    private SlotId releasing;
    private String lastLoadFailure;
    private int consecutiveLoadFailures;
    private long nextLoadAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a coordinator that has not yet read the model's record.
     *
     * @param name the model's name, not null
     * @param context the dependencies of coordinators, not null
     */
    public ModelCoordinator(ModelName name, CoordinatorContext context) {
        this.name = name;
        this.context = context;
        this.operations = new ReplicaOperations(context);
        this.createdAtMillis = nowMillis();
    }

    /**
     * Processes an entry's demand report and sends the model's current placement back to that entry.
     *
     * @param from the reporting entry, not null
     * @param report the demand report, not null
     */
    public void onDemand(EntryId from, PeerMessage.Demand report) {
        boolean reconcile;
        lock.lock();
        try {
            demand.report(from, report, nowMillis());
            boolean hasUnservedCalls = report.queued() > 0 && !recordedReplicas.isEmpty();
            Duration interval = failingSinceMillis.isEmpty() ? MIN_REFRESH_INTERVAL : FAILED_QUERY_REPEAT_INTERVAL;
            reconcile = hasUnservedCalls && nowMillis() - refreshedAtMillis >= interval.toMillis();
        } finally {
            lock.unlock();
        }
        if (reconcile) {
            reconcileUpstreams();
        }
        tick();
        sendPlacement(from);
    }

    /** Performs due work: unloads idle replicas, replaces lost replicas and rereads the records. */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            if (nowMillis() - refreshedAtMillis >= REFRESH_INTERVAL.toMillis()) {
                refresh(actions);
            }
            if (recordVersion >= 0) {
                decide(actions);
            }
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    /**
     * Checks whether this coordinator is still needed.
     *
     * @return false if the model's record was read and the model has no replica, no subscribed entry and no load or
     *     release in progress
     */
    public boolean isActive() {
        lock.lock();
        try {
            return !recordedReplicas.isEmpty()
                    || !attempts.isEmpty()
                    || releasing != null
                    || recordVersion < 0
                    || !demand.subscribers(nowMillis()).isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a snapshot of this coordinator's state.
     *
     * @return the current state, never null
     */
    public CoordinatorState state() {
        lock.lock();
        try {
            return new CoordinatorState(
                    name.value(),
                    demand.calls(nowMillis()),
                    replicas(),
                    attempts.size(),
                    releasing == null ? null : releasing.value(),
                    lastLoadFailure,
                    recordVersion);
        } finally {
            lock.unlock();
        }
    }

    private void decide(List<Runnable> actions) {
        Optional<Model> model = model();
        List<ReplicaView> stableReplicas = recordedReplicas.stream()
                .filter(r -> !r.slot().equals(releasing))
                .filter(r -> attempts.stream().noneMatch(a -> r.slot().equals(a.slot())))
                .toList();
        ReplicaDecision decision = ReplicaDecision.decide(model.orElse(null), observe(model, stableReplicas));
        for (int i = 0; i < decision.loads(); i++) {
            startLoad(model.orElseThrow(), decision.decidedReplicas(), actions);
        }
        if (decision.release() != null) {
            startRelease(decision.release(), actions);
        }
    }

    private ReplicaDecision.ObservedState observe(Optional<Model> model, List<ReplicaView> stableReplicas) {
        long nowMillis = nowMillis();
        int calls = demand.calls(nowMillis);
        boolean surplus = model.isPresent()
                && stableReplicas.size() > 1
                && calls <= (stableReplicas.size() - 1) * model.get().callsPerReplica();
        if (!surplus) {
            surplusSinceMillis = -1;
        } else if (surplusSinceMillis < 0) {
            surplusSinceMillis = nowMillis;
        }
        Duration surplusDuration = surplus ? Duration.ofMillis(nowMillis - surplusSinceMillis) : Duration.ZERO;
        boolean loadAllowed = nowMillis >= nextLoadAtMillis;
        boolean operationInProgress = !attempts.isEmpty() || releasing != null;
        boolean idleTimeoutExceeded = model.isPresent() && isIdleTimeoutExceeded(model.get(), nowMillis);
        return new ReplicaDecision.ObservedState(
                calls,
                stableReplicas,
                attempts.size(),
                loadAllowed,
                operationInProgress,
                idleTimeoutExceeded,
                surplusDuration);
    }

    private boolean isIdleTimeoutExceeded(Model model, long nowMillis) {
        Duration reload = context.loadTimes().estimate(CheckpointTier.DISK, model.acceleratorBytes());
        Duration idleTimeout = context.idlePolicy()
                .idleTimeout(demand.idlePeriods(), reload, model.callClass().weight());
        return demand.idleTime(nowMillis, createdAtMillis).compareTo(idleTimeout) >= 0;
    }

    private void startLoad(Model model, int decidedReplicas, List<Runnable> actions) {
        LoadAttempt attempt = new LoadAttempt(nowMillis());
        attempts.add(attempt);
        actions.add(() -> operations
                .load(model, decidedReplicas, planned -> onPlanned(attempt, planned))
                .subscribe()
                .with(plan -> onLoaded(model, attempt, plan), failure -> onLoadFailed(attempt, failure)));
    }

    private void onPlanned(LoadAttempt attempt, ReplicaView planned) {
        lock.lock();
        try {
            attempt.replica = planned;
        } finally {
            lock.unlock();
        }
        sendPlacementToSubscribers();
    }

    private void onLoaded(Model model, LoadAttempt attempt, LoadPlan plan) {
        Duration duration = Duration.ofMillis(nowMillis() - attempt.startedAtMillis);
        LogEvent.LOAD_COMPLETED.log(name, plan.candidate().instance().id(), duration.toMillis());
        context.loadTimes().recordLoad(plan.tier(), model.acceleratorBytes(), duration);
        lock.lock();
        try {
            lastLoadFailure = null;
            consecutiveLoadFailures = 0;
            attempts.remove(attempt);
            ReplicaView replica = attempt.replica;
            List<ReplicaView> next = new ArrayList<>(recordedReplicas);
            next.removeIf(r -> r.slot().equals(replica.slot()));
            next.add(new ReplicaView(replica.slot(), replica.upstream(), replica.version(), true, true, nowMillis()));
            recordedReplicas = List.copyOf(next);
        } finally {
            lock.unlock();
        }
        sendPlacementToSubscribers();
        refreshNow();
    }

    private void onLoadFailed(LoadAttempt attempt, Throwable failure) {
        LogEvent.LOAD_FAILED.log(
                name, attempt.replica == null ? "any" : attempt.replica.upstream(), failure.getMessage());
        lock.lock();
        try {
            attempts.remove(attempt);
            boolean limitReached = failure instanceof PlacementException e
                    && e.reason() == PlacementException.Reason.REPLICA_LIMIT_REACHED;
            if (!limitReached) {
                lastLoadFailure = failure.getMessage();
            }
            int doublings = Math.min(consecutiveLoadFailures++, MAX_BACKOFF_DOUBLINGS);
            nextLoadAtMillis = nowMillis() + (INITIAL_LOAD_BACKOFF.toMillis() << doublings);
        } finally {
            lock.unlock();
        }
        sendPlacementToSubscribers();
        refreshNow();
    }

    private void startRelease(ReplicaView replica, List<Runnable> actions) {
        releasing = replica.slot();
        actions.add(this::sendPlacementToSubscribers);
        actions.add(() -> operations
                .release(name, replica)
                .onTermination()
                .invoke(this::onReleaseTerminated)
                .subscribe()
                .with(
                        done -> LogEvent.UNLOADED.log(name, replica.upstream(), "surplus"),
                        failure ->
                                LogEvent.UNLOAD_FAILED.log(replica.slot(), replica.upstream(), failure.getMessage())));
    }

    private void onReleaseTerminated() {
        lock.lock();
        try {
            SlotId released = releasing;
            recordedReplicas = recordedReplicas.stream()
                    .filter(r -> !r.slot().equals(released))
                    .toList();
            releasing = null;
        } finally {
            lock.unlock();
        }
        refreshNow();
    }

    /** Compares the records with the engines' reports; used when calls wait although the records list replicas. */
    private void reconcileUpstreams() {
        List<UpstreamId> upstreams;
        lock.lock();
        try {
            refreshedAtMillis = nowMillis();
            upstreams = recordedReplicas.stream()
                    .map(ReplicaView::upstream)
                    .distinct()
                    .toList();
        } finally {
            lock.unlock();
        }
        List<Uni<Void>> checks = upstreams.stream().map(this::reconcileUpstream).toList();
        if (!checks.isEmpty()) {
            Uni.join().all(checks).andCollectFailures().subscribe().with(done -> refreshNow(), failure -> refreshNow());
        }
    }

    private Uni<Void> reconcileUpstream(UpstreamId upstream) {
        return context.reconciler()
                .reconcileUncached(upstream)
                .invoke(() -> failingSinceMillis.remove(upstream))
                .onFailure(failure -> !(failure instanceof StoreException))
                .invoke(failure -> failingSinceMillis.merge(upstream, failingSince(failure), Math::min))
                .onFailure()
                .recoverWithNull();
    }

    /** Without a connection there is no process; a response may just be lost. */
    private long failingSince(Throwable failure) {
        return failure instanceof ConnectException ? nowMillis() - UNREACHABLE_AFTER.toMillis() : nowMillis();
    }

    private void refreshNow() {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            refresh(actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    private void refresh(List<Runnable> actions) {
        refreshedAtMillis = nowMillis();
        if (refreshing) {
            return;
        }
        refreshing = true;
        actions.add(() -> operations.read(name).subscribe().with(this::onRefreshed, failure -> onRefreshFailed()));
    }

    private void onRefreshFailed() {
        lock.lock();
        try {
            refreshing = false;
            refreshedAtMillis =
                    nowMillis() - REFRESH_INTERVAL.minus(MIN_REFRESH_INTERVAL).toMillis();
        } finally {
            lock.unlock();
        }
    }

    private void onRefreshed(ReplicaOperations.ModelReplicas latest) {
        boolean changed;
        lock.lock();
        try {
            refreshing = false;
            List<ReplicaView> current =
                    latest.replicas().stream().map(this::withReachability).toList();
            changed = recordVersion < 0 || !usabilityBySlot(recordedReplicas).equals(usabilityBySlot(current));
            recordVersion = Math.max(recordVersion, latest.recordVersion());
            recordedReplicas = current;
            if (recordedReplicas.stream().anyMatch(ReplicaView::usable)) {
                lastLoadFailure = null;
            }
        } finally {
            lock.unlock();
        }
        tick();
        if (changed) {
            sendPlacementToSubscribers();
        }
    }

    /** Marks a replica as unusable if its engine did not respond to the last status request, so that it is replaced. */
    private ReplicaView withReachability(ReplicaView replica) {
        Long sinceMillis = failingSinceMillis.get(replica.upstream());
        if (sinceMillis == null || nowMillis() - sinceMillis < UNREACHABLE_AFTER.toMillis()) {
            return replica;
        }
        return new ReplicaView(
                replica.slot(),
                replica.upstream(),
                replica.version(),
                replica.loaded(),
                false,
                replica.readyAtMillis());
    }

    private static Map<SlotId, Boolean> usabilityBySlot(List<ReplicaView> replicas) {
        Map<SlotId, Boolean> slots = new HashMap<>();
        replicas.forEach(replica -> slots.put(replica.slot(), replica.loaded() && replica.usable()));
        return slots;
    }

    /** Returns the replicas to announce to entries: the recorded ones and those being loaded by this entry. */
    private List<ReplicaView> replicas() {
        Map<SlotId, ReplicaView> bySlot = new HashMap<>();
        recordedReplicas.forEach(replica -> bySlot.put(replica.slot(), replica));
        attempts.stream().filter(a -> a.replica != null).forEach(a -> bySlot.put(a.replica.slot(), a.replica));
        bySlot.remove(releasing);
        return List.copyOf(bySlot.values());
    }

    private void sendPlacementToSubscribers() {
        List<EntryId> subscribers;
        lock.lock();
        try {
            subscribers = demand.subscribers(nowMillis());
        } finally {
            lock.unlock();
        }
        subscribers.forEach(this::sendPlacement);
    }

    private void sendPlacement(EntryId to) {
        PeerMessage.Placement placement;
        lock.lock();
        try {
            if (recordVersion < 0) {
                return;
            }
            List<PeerMessage.Replica> peerReplicas = new ArrayList<>();
            for (ReplicaView replica : replicas()) {
                toPeerReplica(replica).ifPresent(peerReplicas::add);
            }
            String reason = peerReplicas.isEmpty() && attempts.isEmpty() ? lastLoadFailure : null;
            placement = new PeerMessage.Placement(name, recordVersion, peerReplicas, reason, RETRY_AFTER_LOAD_FAILURE);
        } finally {
            lock.unlock();
        }
        context.placementSender().accept(to, placement);
    }

    private Optional<PeerMessage.Replica> toPeerReplica(ReplicaView replica) {
        if (!replica.usable()) {
            return Optional.empty();
        }
        return context.directory()
                .instance(replica.upstream())
                .map(instance -> new PeerMessage.Replica(
                        replica.slot(),
                        replica.upstream(),
                        instance.address(),
                        replica.loaded(),
                        replica.eta(nowMillis(), MIN_ETA)));
    }

    private Optional<Model> model() {
        return context.config()
                .current()
                .flatMap(snapshot -> snapshot.configSet().model(name));
    }

    private long nowMillis() {
        return context.placement().clock().millis();
    }

    /** A load in progress; its replica is null until an upstream has been chosen. */
    private static final class LoadAttempt {

        private final long startedAtMillis;
        private volatile ReplicaView replica;

        private LoadAttempt(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }

        private SlotId slot() {
            return replica == null ? null : replica.slot();
        }
    }

    /**
     * A snapshot of a coordinator's state.
     *
     * @param model the model's name, not null
     * @param calls the number of calls queued or running on all entries
     * @param replicas the recorded replicas and those being loaded, without the one being released; not null
     * @param attempts the number of loads in progress
     * @param releasing the slot being released, null if none
     * @param refusal the error message of the last failed load, null if none failed or if a load succeeded or a
     *     usable replica was read since; reaching the replica limit does not count as a failure
     * @param recordVersion the last version read of the model's record, -1 before the first read
     */
    public record CoordinatorState(
            String model,
            int calls,
            List<ReplicaView> replicas,
            int attempts,
            String releasing,
            String refusal,
            long recordVersion) {}
}
