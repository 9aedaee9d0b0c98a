package org.tarragonring.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * Looks after one model's replicas: turns the demand of all entries into loads and unloads, and tells the entries
 * where the replicas are.
 *
 * <p>Two entries that both believe to be a model's home only slow each other down: every decision is a conditional
 * update of the model's record.
 *
 * @since 0.1.0
 */
public final class ModelHome {

    private static final Duration VERIFY_PERIOD = Duration.ofSeconds(1);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(30);
    private static final Duration LOAD_BACKOFF = Duration.ofMillis(500);
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final Duration MIN_ETA = Duration.ofMillis(200);
    private static final Duration RETRY_AFTER_REFUSAL = Duration.ofSeconds(5);

    private final ModelName name;
    private final HomeContext context;
    private final ReplicaOperations operations;
    private final long sinceMillis;
    private final ReentrantLock lock = new ReentrantLock();
    private final ModelDemand demand = new ModelDemand();
    private final Set<UpstreamId> unreachable = ConcurrentHashMap.newKeySet();
    private final List<LoadAttempt> attempts = new ArrayList<>();
    private List<ReplicaView> recorded = List.of();
    private long recordVersion = -1;
    private long refreshedAtMillis = Long.MIN_VALUE / 2;
    private long surplusSinceMillis = -1;
    private boolean refreshing;
    private SlotId releasing;
    private String refusal;
    private int failedLoads;
    private long nextLoadMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a home that knows nothing of the model's replicas yet.
     *
     * @param name the model, not null
     * @param context what homes work with, not null
     */
    public ModelHome(ModelName name, HomeContext context) {
        this.name = name;
        this.context = context;
        this.operations = new ReplicaOperations(context);
        this.sinceMillis = nowMillis();
    }

    /**
     * Takes an entry's report, acts on it and answers it.
     *
     * @param from the entry, not null
     * @param report the report, not null
     */
    public void onDemand(EntryId from, PeerMessage.Demand report) {
        boolean verify;
        lock.lock();
        try {
            demand.report(from, report, nowMillis());
            boolean unserved = report.queued() > 0 && !recorded.isEmpty();
            verify = unserved && nowMillis() - refreshedAtMillis >= VERIFY_PERIOD.toMillis();
        } finally {
            lock.unlock();
        }
        if (verify) {
            verifyReplicas();
        }
        tick();
        answer(from);
    }

    /** Does what is due: unloads idle replicas, replaces lost ones and reads the records again. */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            if (nowMillis() - refreshedAtMillis >= REFRESH_PERIOD.toMillis()) {
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
     * Checks if this home has anything to look after.
     *
     * @return false if the model has no replica, no demand and nothing in progress
     */
    public boolean isActive() {
        lock.lock();
        try {
            return !recorded.isEmpty()
                    || !attempts.isEmpty()
                    || releasing != null
                    || recordVersion < 0
                    || !demand.subscribers(nowMillis()).isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Describes this home.
     *
     * @return its state at this moment
     */
    public HomeState state() {
        lock.lock();
        try {
            return new HomeState(
                    name.value(),
                    demand.calls(nowMillis()),
                    replicas(),
                    attempts.size(),
                    releasing == null ? null : releasing.value(),
                    refusal,
                    recordVersion);
        } finally {
            lock.unlock();
        }
    }

    private void decide(List<Runnable> actions) {
        Optional<Model> model = model();
        List<ReplicaView> others = recorded.stream()
                .filter(r -> !r.slot().equals(releasing))
                .filter(r -> attempts.stream().noneMatch(a -> r.slot().equals(a.slot())))
                .toList();
        ReplicaDecision decision = ReplicaDecision.decide(model.orElse(null), situation(model, others));
        for (int i = 0; i < decision.loads(); i++) {
            startLoad(model.orElseThrow(), decision.decidedReplicas(), actions);
        }
        if (decision.release() != null) {
            startRelease(decision.release(), actions);
        }
    }

    private ReplicaDecision.Situation situation(Optional<Model> model, List<ReplicaView> others) {
        long nowMillis = nowMillis();
        int calls = demand.calls(nowMillis);
        boolean surplus = model.isPresent()
                && others.size() > 1
                && calls <= (others.size() - 1) * model.get().callsPerReplica();
        if (!surplus) {
            surplusSinceMillis = -1;
        } else if (surplusSinceMillis < 0) {
            surplusSinceMillis = nowMillis;
        }
        Duration surplusFor = surplus ? Duration.ofMillis(nowMillis - surplusSinceMillis) : Duration.ZERO;
        boolean mayLoad = nowMillis >= nextLoadMillis;
        boolean busy = !attempts.isEmpty() || releasing != null;
        boolean idleTooLong = model.isPresent() && isIdleTooLong(model.get(), nowMillis);
        return new ReplicaDecision.Situation(calls, others, attempts.size(), mayLoad, busy, idleTooLong, surplusFor);
    }

    private boolean isIdleTooLong(Model model, long nowMillis) {
        Duration reload = context.loadTimes().estimate(CheckpointTier.DISK, model.acceleratorBytes());
        Duration keep = context.idlePolicy()
                .keepFor(demand.gaps(), reload, model.callClass().weight());
        return demand.idle(nowMillis, sinceMillis).compareTo(keep) >= 0;
    }

    private void startLoad(Model model, int decided, List<Runnable> actions) {
        LoadAttempt attempt = new LoadAttempt(nowMillis());
        attempts.add(attempt);
        actions.add(() -> operations
                .load(model, decided, planned -> onPlanned(attempt, planned))
                .subscribe()
                .with(plan -> onLoaded(model, attempt, plan), failure -> onLoadFailed(attempt, failure)));
    }

    private void onPlanned(LoadAttempt attempt, ReplicaView planned) {
        lock.lock();
        try {
            attempt.view = planned;
        } finally {
            lock.unlock();
        }
        answerAll();
    }

    private void onLoaded(Model model, LoadAttempt attempt, LoadPlan plan) {
        Duration took = Duration.ofMillis(nowMillis() - attempt.startedMillis);
        LogEvent.LOAD_COMPLETED.log(name, plan.candidate().instance().id(), took.toMillis());
        context.loadTimes().loaded(plan.tier(), model.acceleratorBytes(), took);
        lock.lock();
        try {
            refusal = null;
            failedLoads = 0;
            attempts.remove(attempt);
            ReplicaView view = attempt.view;
            List<ReplicaView> next = new ArrayList<>(recorded);
            next.removeIf(r -> r.slot().equals(view.slot()));
            next.add(new ReplicaView(view.slot(), view.upstream(), view.version(), true, true, nowMillis()));
            recorded = List.copyOf(next);
        } finally {
            lock.unlock();
        }
        answerAll();
        refreshNow();
    }

    private void onLoadFailed(LoadAttempt attempt, Throwable failure) {
        LogEvent.LOAD_FAILED.log(name, attempt.view == null ? "any" : attempt.view.upstream(), failure.getMessage());
        lock.lock();
        try {
            attempts.remove(attempt);
            boolean enough =
                    failure instanceof PlacementException e && e.reason() == PlacementException.Reason.ENOUGH_REPLICAS;
            if (!enough) {
                refusal = failure.getMessage();
            }
            int doublings = Math.min(failedLoads++, MAX_BACKOFF_DOUBLINGS);
            nextLoadMillis = nowMillis() + (LOAD_BACKOFF.toMillis() << doublings);
        } finally {
            lock.unlock();
        }
        answerAll();
        refreshNow();
    }

    private void startRelease(ReplicaView replica, List<Runnable> actions) {
        releasing = replica.slot();
        actions.add(this::answerAll);
        actions.add(() -> operations
                .release(name, replica)
                .onTermination()
                .invoke(this::onReleaseEnded)
                .subscribe()
                .with(
                        done -> LogEvent.UNLOADED.log(name, replica.upstream(), "surplus"),
                        failure ->
                                LogEvent.UNLOAD_FAILED.log(replica.slot(), replica.upstream(), failure.getMessage())));
    }

    private void onReleaseEnded() {
        lock.lock();
        try {
            SlotId released = releasing;
            recorded = recorded.stream().filter(r -> !r.slot().equals(released)).toList();
            releasing = null;
        } finally {
            lock.unlock();
        }
        refreshNow();
    }

    /** Compares the records with what the engines report; asked for when calls wait although replicas are loaded. */
    private void verifyReplicas() {
        List<UpstreamId> upstreams;
        lock.lock();
        try {
            refreshedAtMillis = nowMillis();
            upstreams = recorded.stream().map(ReplicaView::upstream).distinct().toList();
        } finally {
            lock.unlock();
        }
        List<Uni<Void>> checks = upstreams.stream().map(this::verify).toList();
        if (!checks.isEmpty()) {
            Uni.join().all(checks).andCollectFailures().subscribe().with(done -> refreshNow(), failure -> refreshNow());
        }
    }

    private Uni<Void> verify(UpstreamId upstream) {
        return context.reconciler()
                .reconcileNow(upstream)
                .invoke(() -> unreachable.remove(upstream))
                .onFailure(failure -> !(failure instanceof StoreException))
                .invoke(failure -> unreachable.add(upstream))
                .onFailure()
                .recoverWithNull();
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
                    nowMillis() - REFRESH_PERIOD.minus(VERIFY_PERIOD).toMillis();
        } finally {
            lock.unlock();
        }
    }

    private void onRefreshed(ReplicaOperations.ModelView view) {
        boolean changed;
        lock.lock();
        try {
            refreshing = false;
            List<ReplicaView> fresh =
                    view.replicas().stream().map(this::withReach).toList();
            changed = recordVersion < 0 || !loadedSlots(recorded).equals(loadedSlots(fresh));
            recordVersion = Math.max(recordVersion, view.version());
            recorded = fresh;
            if (recorded.stream().anyMatch(ReplicaView::usable)) {
                refusal = null;
            }
        } finally {
            lock.unlock();
        }
        tick();
        if (changed) {
            answerAll();
        }
    }

    /** Marks a replica whose engine did not answer lately as unusable, so that another is loaded in its place. */
    private ReplicaView withReach(ReplicaView view) {
        if (!unreachable.contains(view.upstream())) {
            return view;
        }
        return new ReplicaView(
                view.slot(), view.upstream(), view.version(), view.loaded(), false, view.readyAtMillis());
    }

    private static Map<SlotId, Boolean> loadedSlots(List<ReplicaView> views) {
        Map<SlotId, Boolean> slots = new HashMap<>();
        views.forEach(view -> slots.put(view.slot(), view.loaded() && view.usable()));
        return slots;
    }

    /** Returns the replicas that entries are told of: those in the records and those being loaded here. */
    private List<ReplicaView> replicas() {
        Map<SlotId, ReplicaView> bySlot = new HashMap<>();
        recorded.forEach(view -> bySlot.put(view.slot(), view));
        attempts.stream().filter(a -> a.view != null).forEach(a -> bySlot.put(a.view.slot(), a.view));
        bySlot.remove(releasing);
        return List.copyOf(bySlot.values());
    }

    private void answerAll() {
        List<EntryId> subscribers;
        lock.lock();
        try {
            subscribers = demand.subscribers(nowMillis());
        } finally {
            lock.unlock();
        }
        subscribers.forEach(this::answer);
    }

    private void answer(EntryId to) {
        PeerMessage.Placement placement;
        lock.lock();
        try {
            if (recordVersion < 0) {
                return;
            }
            List<PeerMessage.Replica> wire = new ArrayList<>();
            for (ReplicaView replica : replicas()) {
                wire(replica).ifPresent(wire::add);
            }
            String reason = wire.isEmpty() && attempts.isEmpty() ? refusal : null;
            placement = new PeerMessage.Placement(name, recordVersion, wire, reason, RETRY_AFTER_REFUSAL);
        } finally {
            lock.unlock();
        }
        context.answers().accept(to, placement);
    }

    private Optional<PeerMessage.Replica> wire(ReplicaView replica) {
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
        return context.config().current().flatMap(snapshot -> snapshot.set().model(name));
    }

    private long nowMillis() {
        return context.placement().clock().millis();
    }

    /** A load in progress, and the replica it will make once that is planned. */
    private static final class LoadAttempt {

        private final long startedMillis;
        private volatile ReplicaView view;

        private LoadAttempt(long startedMillis) {
            this.startedMillis = startedMillis;
        }

        private SlotId slot() {
            return view == null ? null : view.slot();
        }
    }

    /**
     * A home's state.
     *
     * @param model the model, not null
     * @param calls the calls that wait or run on all entries
     * @param replicas the replicas, not null
     * @param attempts the loads in progress
     * @param releasing the slot that is being freed, null if none is
     * @param refusal why the last load failed, null if none did
     * @param recordVersion the version of the model's record last seen, -1 before the first
     */
    public record HomeState(
            String model,
            int calls,
            List<ReplicaView> replicas,
            int attempts,
            String releasing,
            String refusal,
            long recordVersion) {}
}
