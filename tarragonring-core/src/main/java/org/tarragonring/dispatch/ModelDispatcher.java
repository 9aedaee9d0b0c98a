package org.tarragonring.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.Predicate;

import org.tarragonring.admission.CallQueue;
import org.tarragonring.admission.WaitEstimator;
import org.tarragonring.admission.WaitingCall;
import org.tarragonring.config.Model;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.ModelName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.routing.Target;

/**
 * Assigns one model's calls on one entry to replicas. Queues calls while no replica has capacity, refuses calls that
 * would miss their deadline, and reports the demand for the model to its home entry.
 *
 * @since 0.1.0
 */
public final class ModelDispatcher {

    private static final long NOT_LOADED_RETENTION_MILLIS = 5_000;

    private final ModelName name;
    private final DispatchContext context;
    private final ReentrantLock lock = new ReentrantLock();
    private final CallQueue<PendingCall> queue;
    private final Map<String, Long> notLoadedUntilMillis = new HashMap<>();
    /** Calls to be resumed because their replica failed. They wait for another replica outside the queue. */
    private final List<PendingCall> resumingCalls = new ArrayList<>();

    private final WaitEstimator estimator = new WaitEstimator();
    private Target[] targets = {};
    private long placementVersion = -1;
    private long readyAtMillis;
    private boolean readyTimeKnown;
    private int callsPerReplica = 1;
    private int inFlight;
    private int arrivals;
    private long lastReportMillis = Long.MIN_VALUE / 2;
    private long lastLoadDurationMillis;
    private long loadStartMillis;
    private boolean lastReportWasBusy;

    ModelDispatcher(ModelName name, DispatchContext context) {
        this.name = Objects.requireNonNull(name, "name");
        this.context = Objects.requireNonNull(context, "context");
        this.queue = new CallQueue<>(context.limits().maxQueuedCallsPerModel());
    }

    /**
     * Assigns a call to a replica, or queues it until a replica has capacity.
     *
     * @param model the model as currently configured, not null
     * @param request the call's requirements, not null
     * @return completes with the assignment; fails with {@link CallException} of verdict {@link Verdict#NOT_RUN} if the
     *     call is refused
     */
    public CompletableFuture<CallAssignment> acquire(Model model, DispatchRequest request) {
        PendingCall pending = new PendingCall(request);
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            callsPerReplica = model.callsPerReplica();
            arrivals++;
            admit(pending, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(this::runAction);
        return pending.future;
    }

    /**
     * Applies a placement message from the model's home entry. Ignores a message that reflects an older version of the
     * model's record than an earlier message.
     *
     * @param placement the message, not null
     */
    public void onPlacement(PeerMessage.Placement placement) {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            if (placement.recordVersion() < placementVersion) {
                return;
            }
            placementVersion = placement.recordVersion();
            updateTargets(placement.replicas());
            if (placement.refusal() != null && targets.length == 0) {
                refuseAll(placement, actions);
            }
            refuseUnmeetableDeadlines(actions);
            assignWaitingCalls(actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(this::runAction);
    }

    /** Refuses waiting calls whose deadline has passed, assigns others and sends a demand report if one is due. */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            long nowMillis = context.clock().millis();
            for (WaitingCall<PendingCall> expired : queue.removeExpired(nowMillis)) {
                refuse(
                        expired.call(),
                        RefusalReason.DEADLINE,
                        Duration.ZERO,
                        "no replica of model \"%s\" had capacity before the deadline".formatted(name),
                        actions);
            }
            refuseExpiredResumingCalls(nowMillis, actions);
            assignWaitingCalls(actions);
            reportIfDue(nowMillis, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(this::runAction);
    }

    /**
     * Returns the state of this dispatcher.
     *
     * @return a snapshot of the state, never null
     */
    public DispatcherState state() {
        lock.lock();
        try {
            List<String> names = new ArrayList<>();
            for (Target target : targets) {
                names.add(target.name() + "@" + target.upstream());
            }
            return new DispatcherState(name.value(), waitingCount(), inFlight, names, placementVersion);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Checks whether this dispatcher is idle.
     *
     * @return true if no call waits or runs
     */
    public boolean isIdle() {
        lock.lock();
        try {
            return waitingCount() == 0 && inFlight == 0;
        } finally {
            lock.unlock();
        }
    }

    /** Runs an action after the lock is released. Its failure concerns neither the other calls nor the invoker. */
    private void runAction(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LogEvent.UNEXPECTED_FAILURE.log("the dispatcher of model " + name, e);
        }
    }

    void onReleased(Target target, long assignedMillis, CallAssignment.Outcome outcome) {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            target.callEnded();
            inFlight--;
            long nowMillis = context.clock().millis();
            if (outcome == CallAssignment.Outcome.ANSWERED) {
                estimator.recordServiceTime(nowMillis - assignedMillis);
                context.ejections().recordSuccess(target.upstream());
            }
            if (outcome == CallAssignment.Outcome.NOT_LOADED) {
                removeTarget(target);
            }
            if (outcome == CallAssignment.Outcome.FAILED) {
                context.ejections().recordFailure(target.upstream());
            }
            assignWaitingCalls(actions);
            reportIfDue(nowMillis, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(this::runAction);
    }

    private void admit(PendingCall pending, List<Runnable> actions) {
        if (queue.size() == 0 && tryAssign(pending, actions)) {
            return;
        }
        if (!pending.request.excludedReplicas().isEmpty()) {
            resumingCalls.add(pending);
            report(context.clock().millis(), actions);
            return;
        }
        long nowMillis = context.clock().millis();
        long waitMillis = estimatedWaitMillis(pending.request.priority(), nowMillis);
        if (nowMillis + waitMillis >= pending.request.deadlineMillis()) {
            refuse(
                    pending,
                    RefusalReason.DEADLINE,
                    Duration.ofMillis(waitMillis),
                    "estimated wait of %d ms for model \"%s\" exceeds the time left before the deadline"
                            .formatted(waitMillis, name),
                    actions);
            report(nowMillis, actions);
            return;
        }
        WaitingCall<PendingCall> waiting =
                new WaitingCall<>(pending.request.priority(), nowMillis, pending.request.deadlineMillis(), pending);
        if (!queue.offer(waiting)) {
            refuse(
                    pending,
                    RefusalReason.QUEUE_FULL,
                    Duration.ofMillis(waitMillis),
                    "queue of model \"%s\" is full, at most %d calls can wait"
                            .formatted(name, context.limits().maxQueuedCallsPerModel()),
                    actions);
            return;
        }
        if (queue.size() == 1
                || nowMillis - lastReportMillis >= context.limits().queuedReportIntervalMillis()) {
            report(nowMillis, actions);
        }
    }

    private boolean tryAssign(PendingCall pending, List<Runnable> actions) {
        DispatchRequest request = pending.request;
        boolean exclusionActive = context.clock().millis() < request.excludedUntilMillis();
        Predicate<Target> allowed =
                candidate -> !exclusionActive || !request.excludedReplicas().contains(candidate.name());
        Target target = pick(
                request, allowed.and(candidate -> !request.avoidedUpstreams().contains(candidate.upstream())));
        if (target == null && !request.avoidedUpstreams().isEmpty()) {
            target = pick(request, allowed);
        }
        if (target == null) {
            return false;
        }
        target.callStarted();
        inFlight++;
        CallAssignment assignment =
                new CallAssignment(target, this, context.clock().millis());
        actions.add(() -> {
            if (!pending.future.complete(assignment)) {
                assignment.release(CallAssignment.Outcome.ABANDONED);
            }
        });
        return true;
    }

    private Target pick(DispatchRequest request, Predicate<Target> allowed) {
        return context.picker()
                .pick(
                        targets,
                        request.prefixHash(),
                        callsPerReplica,
                        candidate -> context.isAvailable().test(candidate.upstream()) && allowed.test(candidate));
    }

    private void assignWaitingCalls(List<Runnable> actions) {
        resumingCalls.removeIf(pending -> pending.future.isDone() || tryAssign(pending, actions));
        for (WaitingCall<PendingCall> next = queue.peek(); next != null; next = queue.peek()) {
            PendingCall pending = next.call();
            if (!pending.future.isDone() && !tryAssign(pending, actions)) {
                return;
            }
            queue.poll();
        }
    }

    /** Refuses calls to be resumed for which no other replica became available before their deadline. */
    private void refuseExpiredResumingCalls(long nowMillis, List<Runnable> actions) {
        for (PendingCall pending : List.copyOf(resumingCalls)) {
            if (nowMillis >= pending.request.deadlineMillis()) {
                resumingCalls.remove(pending);
                refuse(
                        pending,
                        RefusalReason.UPSTREAM_UNAVAILABLE,
                        Duration.ZERO,
                        "no other replica of model \"%s\" became available before the deadline".formatted(name),
                        actions);
            }
        }
    }

    private int waitingCount() {
        return queue.size() + resumingCalls.size();
    }

    private long estimatedWaitMillis(int priority, long nowMillis) {
        long untilReadyMillis = 0;
        if (targets.length == 0) {
            untilReadyMillis = readyTimeKnown ? Math.max(0, readyAtMillis - nowMillis) : lastLoadDurationMillis;
        }
        int maxConcurrentCalls = Math.max(1, targets.length) * callsPerReplica;
        return estimator.estimateWaitMillis(queue.countAhead(priority), maxConcurrentCalls, untilReadyMillis);
    }

    private void updateTargets(List<PeerMessage.Replica> replicas) {
        Map<String, Target> existing = new HashMap<>();
        for (Target target : targets) {
            existing.put(target.name(), target);
        }
        List<Target> next = new ArrayList<>();
        long nowMillis = context.clock().millis();
        boolean readyTimeWasKnown = readyTimeKnown;
        readyTimeKnown = false;
        notLoadedUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
        for (PeerMessage.Replica replica : replicas) {
            if (replica.loaded()
                    && notLoadedUntilMillis.containsKey(replica.slot().value())) {
                continue;
            }
            if (replica.loaded()) {
                next.add(Optional.ofNullable(existing.get(replica.slot().value()))
                        .orElseGet(() -> target(replica)));
            } else {
                long readyMillis = nowMillis + replica.eta().toMillis();
                readyAtMillis = readyTimeKnown ? Math.min(readyAtMillis, readyMillis) : readyMillis;
                readyTimeKnown = true;
            }
        }
        if (readyTimeKnown && !readyTimeWasKnown) {
            loadStartMillis = nowMillis;
        }
        if (readyTimeWasKnown && !next.isEmpty() && targets.length == 0) {
            lastLoadDurationMillis = nowMillis - loadStartMillis;
        }
        targets = next.toArray(new Target[0]);
    }

    private Target target(PeerMessage.Replica replica) {
        String failureDomain = context.failureDomainOf().apply(replica.upstream());
        return new Target(replica.slot().value(), replica.upstream(), replica.address(), failureDomain);
    }

    /**
     * Removes a replica whose engine no longer has the model loaded. The replica is ignored for some time, because the
     * home entry may still list it as loaded.
     */
    private void removeTarget(Target target) {
        notLoadedUntilMillis.put(target.name(), context.clock().millis() + NOT_LOADED_RETENTION_MILLIS);
        List<Target> next = new ArrayList<>(List.of(targets));
        next.remove(target);
        targets = next.toArray(new Target[0]);
    }

    private void refuseAll(PeerMessage.Placement placement, List<Runnable> actions) {
        List<PendingCall> refused = new ArrayList<>(resumingCalls);
        resumingCalls.clear();
        queue.removeAll().forEach(waiting -> refused.add(waiting.call()));
        for (PendingCall pending : refused) {
            refuse(
                    pending,
                    RefusalReason.NO_CAPACITY,
                    placement.retryAfter(),
                    "model \"%s\" was not loaded: %s".formatted(name, placement.refusal()),
                    actions);
        }
    }

    /** Immediately refuses waiting calls whose deadline is not after the expected end of the load. */
    private void refuseUnmeetableDeadlines(List<Runnable> actions) {
        if (targets.length > 0 || !readyTimeKnown) {
            return;
        }
        for (WaitingCall<PendingCall> waiting : queue.removeExpired(readyAtMillis)) {
            Duration wait = Duration.ofMillis(
                    Math.max(0, readyAtMillis - context.clock().millis()));
            refuse(
                    waiting.call(),
                    RefusalReason.DEADLINE,
                    wait,
                    "model \"%s\" is not expected to be loaded before the deadline".formatted(name),
                    actions);
        }
    }

    private void refuse(
            PendingCall pending, RefusalReason reason, Duration retryAfter, String message, List<Runnable> actions) {
        CallException failure = new CallException(reason, Verdict.NOT_RUN, retryAfter, message);
        actions.add(() -> pending.future.completeExceptionally(failure));
    }

    private void reportIfDue(long nowMillis, List<Runnable> actions) {
        boolean busy = waitingCount() > 0 || inFlight > 0 || arrivals > 0;
        long intervalMillis = waitingCount() > 0
                ? context.limits().queuedReportIntervalMillis()
                : context.limits().busyReportIntervalMillis();
        boolean due = busy && nowMillis - lastReportMillis >= intervalMillis;
        if (due || !busy && lastReportWasBusy) {
            report(nowMillis, actions);
        }
    }

    private void report(long nowMillis, List<Runnable> actions) {
        PeerMessage.Demand demand = new PeerMessage.Demand(name, waitingCount(), inFlight, arrivals);
        lastReportWasBusy = waitingCount() > 0 || inFlight > 0;
        arrivals = 0;
        lastReportMillis = nowMillis;
        actions.add(() -> context.demandReporter().accept(demand));
    }

    private static final class PendingCall {

        private final DispatchRequest request;
        private final CompletableFuture<CallAssignment> future = new CompletableFuture<>();

        private PendingCall(DispatchRequest request) {
            this.request = request;
        }
    }

    /**
     * The state of a dispatcher.
     *
     * @param model the name of the model, not null
     * @param queued the number of calls that wait
     * @param inFlight the number of calls that run on replicas
     * @param targets the loaded replicas, each as {@code slot@upstream}; not null
     * @param placementVersion the version of the model's record that the latest placement message reflects, -1 before
     *     the first message
     */
    public record DispatcherState(
            String model, int queued, int inFlight, List<String> targets, long placementVersion) {}

    static Function<ModelName, ModelDispatcher> factory(DispatchContext context) {
        return name -> new ModelDispatcher(name, context);
    }
}
