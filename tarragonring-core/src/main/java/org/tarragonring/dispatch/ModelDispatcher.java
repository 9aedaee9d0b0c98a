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
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.routing.Target;

/**
 * Looks after one model's calls on one entry: queues them while no replica has room, refuses those that would be
 * late, and tells the model's home what is needed.
 *
 * @since 0.1.0
 */
public final class ModelDispatcher {

    private static final long LOST_MEMORY_MILLIS = 5_000;

    private final ModelName name;
    private final DispatchContext context;
    private final ReentrantLock lock = new ReentrantLock();
    private final CallQueue<Pending> queue;
    private final Map<String, Long> lost = new HashMap<>();
    private final List<Pending> resuming = new ArrayList<>();
    private final WaitEstimator estimator = new WaitEstimator();
    private Target[] targets = {};
    private long placementVersion = -1;
    private long readyAtMillis;
    private boolean readyKnown;
    private int callsPerReplica = 1;
    private int inFlight;
    private int arrivals;
    private long lastReportMillis = Long.MIN_VALUE / 2;
    private long lastLoadMillis;
    private long loadSinceMillis;
    private boolean reportedBusy;

    ModelDispatcher(ModelName name, DispatchContext context) {
        this.name = Objects.requireNonNull(name, "name");
        this.context = Objects.requireNonNull(context, "context");
        this.queue = new CallQueue<>(context.limits().queuedCallsPerModel());
    }

    /**
     * Finds a place for a call.
     *
     * @param model the model as configured now, not null
     * @param request what the call asks, not null
     * @return completes with a place; fails with {@link CallException} of verdict {@link Verdict#NOT_RUN}
     */
    public CompletableFuture<Seat> acquire(Model model, DispatchRequest request) {
        Pending pending = new Pending(request);
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            callsPerReplica = model.callsPerReplica();
            arrivals++;
            admit(pending, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
        return pending.future;
    }

    /**
     * Takes a home's answer.
     *
     * @param placement the answer, not null
     */
    public void onPlacement(PeerMessage.Placement placement) {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            if (placement.recordVersion() < placementVersion) {
                return;
            }
            placementVersion = placement.recordVersion();
            takeReplicas(placement.replicas());
            if (placement.refusal() != null && targets.length == 0) {
                refuseAll(placement, actions);
            }
            refuseLate(actions);
            pump(actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    /** Refuses calls whose deadline passed and reports demand where it is due. */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            long nowMillis = context.clock().millis();
            for (WaitingCall<Pending> expired : queue.expire(nowMillis)) {
                refuse(expired.call(), RefusalReason.DEADLINE, Duration.ZERO, "waited until the deadline", actions);
            }
            expireResuming(nowMillis, actions);
            pump(actions);
            reportIfDue(nowMillis, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    /**
     * Describes this dispatcher.
     *
     * @return its state at this moment
     */
    public DispatcherState state() {
        lock.lock();
        try {
            List<String> names = new ArrayList<>();
            for (Target target : targets) {
                names.add(target.name() + "@" + target.upstream());
            }
            return new DispatcherState(name.value(), waiting(), inFlight, names, placementVersion);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Checks if nothing waits or runs.
     *
     * @return true if the dispatcher is idle
     */
    public boolean isIdle() {
        lock.lock();
        try {
            return waiting() == 0 && inFlight == 0;
        } finally {
            lock.unlock();
        }
    }

    void onReleased(Target target, long takenMillis, Seat.End end) {
        List<Runnable> actions = new ArrayList<>();
        lock.lock();
        try {
            target.end();
            inFlight--;
            long nowMillis = context.clock().millis();
            if (end == Seat.End.ANSWERED) {
                estimator.served(nowMillis - takenMillis);
                context.ejections().succeeded(target.upstream());
            }
            if (end == Seat.End.NOT_LOADED) {
                drop(target);
            }
            if (end == Seat.End.FAILED) {
                context.ejections().failed(target.upstream());
            }
            pump(actions);
            reportIfDue(nowMillis, actions);
        } finally {
            lock.unlock();
        }
        actions.forEach(Runnable::run);
    }

    private void admit(Pending pending, List<Runnable> actions) {
        if (queue.size() == 0 && trySeat(pending, actions)) {
            return;
        }
        if (!pending.request.excluded().isEmpty()) {
            resuming.add(pending);
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
                    "the wait of %d ms would pass the deadline".formatted(waitMillis),
                    actions);
            report(nowMillis, actions);
            return;
        }
        WaitingCall<Pending> waiting =
                new WaitingCall<>(pending.request.priority(), nowMillis, pending.request.deadlineMillis(), pending);
        if (!queue.offer(waiting)) {
            refuse(pending, RefusalReason.QUEUE_FULL, Duration.ofMillis(waitMillis), "the queue is full", actions);
            return;
        }
        if (queue.size() == 1
                || nowMillis - lastReportMillis >= context.limits().queuedReportMillis()) {
            report(nowMillis, actions);
        }
    }

    private boolean trySeat(Pending pending, List<Runnable> actions) {
        DispatchRequest request = pending.request;
        boolean excludes = context.clock().millis() < request.excludedUntilMillis();
        Predicate<Target> allowed =
                candidate -> !excludes || !request.excluded().contains(candidate.name());
        Target target =
                pick(request, allowed.and(candidate -> !request.avoided().contains(candidate.upstream())));
        if (target == null && !request.avoided().isEmpty()) {
            target = pick(request, allowed);
        }
        if (target == null) {
            return false;
        }
        target.begin();
        inFlight++;
        Seat seat = new Seat(target, this, context.clock().millis());
        actions.add(() -> {
            if (!pending.future.complete(seat)) {
                seat.release(Seat.End.ABANDONED);
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
                        candidate -> context.mayGetCall().test(candidate.upstream()) && allowed.test(candidate));
    }

    private void pump(List<Runnable> actions) {
        resuming.removeIf(pending -> pending.future.isDone() || trySeat(pending, actions));
        for (WaitingCall<Pending> next = queue.peek(); next != null; next = queue.peek()) {
            Pending pending = next.call();
            if (!pending.future.isDone() && !trySeat(pending, actions)) {
                return;
            }
            queue.poll();
        }
    }

    /** Refuses resumed calls for which no other replica came up in time. */
    private void expireResuming(long nowMillis, List<Runnable> actions) {
        for (Pending pending : List.copyOf(resuming)) {
            if (nowMillis >= pending.request.deadlineMillis()) {
                resuming.remove(pending);
                refuse(
                        pending,
                        RefusalReason.UPSTREAM_UNAVAILABLE,
                        Duration.ZERO,
                        "no other replica of model \"%s\" came up".formatted(name),
                        actions);
            }
        }
    }

    private int waiting() {
        return queue.size() + resuming.size();
    }

    private long estimatedWaitMillis(int priority, long nowMillis) {
        long untilReadyMillis = 0;
        if (targets.length == 0) {
            untilReadyMillis = readyKnown ? Math.max(0, readyAtMillis - nowMillis) : lastLoadMillis;
        }
        int places = Math.max(1, targets.length) * callsPerReplica;
        return estimator.waitMillis(queue.ahead(priority), places, untilReadyMillis);
    }

    private void takeReplicas(List<PeerMessage.Replica> replicas) {
        Map<String, Target> known = new HashMap<>();
        for (Target target : targets) {
            known.put(target.name(), target);
        }
        List<Target> next = new ArrayList<>();
        long nowMillis = context.clock().millis();
        boolean wasKnown = readyKnown;
        readyKnown = false;
        lost.values().removeIf(untilMillis -> nowMillis >= untilMillis);
        for (PeerMessage.Replica replica : replicas) {
            if (replica.loaded() && lost.containsKey(replica.slot().value())) {
                continue;
            }
            if (replica.loaded()) {
                next.add(Optional.ofNullable(known.get(replica.slot().value())).orElseGet(() -> target(replica)));
            } else {
                long readyMillis = nowMillis + replica.eta().toMillis();
                readyAtMillis = readyKnown ? Math.min(readyAtMillis, readyMillis) : readyMillis;
                readyKnown = true;
            }
        }
        if (readyKnown && !wasKnown) {
            loadSinceMillis = nowMillis;
        }
        if (wasKnown && !next.isEmpty() && targets.length == 0) {
            lastLoadMillis = nowMillis - loadSinceMillis;
        }
        targets = next.toArray(new Target[0]);
    }

    private Target target(PeerMessage.Replica replica) {
        String domain = context.failureDomainOf().apply(replica.upstream());
        return new Target(replica.slot().value(), replica.upstream(), replica.address(), domain);
    }

    /** Drops a replica that its engine does not hold any more, also while the home still believes that it does. */
    private void drop(Target target) {
        lost.put(target.name(), context.clock().millis() + LOST_MEMORY_MILLIS);
        List<Target> next = new ArrayList<>(List.of(targets));
        next.remove(target);
        targets = next.toArray(new Target[0]);
    }

    private void refuseAll(PeerMessage.Placement placement, List<Runnable> actions) {
        List<Pending> refused = new ArrayList<>(resuming);
        resuming.clear();
        queue.drain().forEach(waiting -> refused.add(waiting.call()));
        for (Pending pending : refused) {
            refuse(
                    pending,
                    RefusalReason.NO_CAPACITY,
                    placement.retryAfter(),
                    "model \"%s\" was not loaded: %s".formatted(name, placement.refusal()),
                    actions);
        }
    }

    /** Refuses waiting calls that the expected end of the load would make late, at once. */
    private void refuseLate(List<Runnable> actions) {
        if (targets.length > 0 || !readyKnown) {
            return;
        }
        for (WaitingCall<Pending> waiting : queue.expire(readyAtMillis)) {
            Duration wait = Duration.ofMillis(
                    Math.max(0, readyAtMillis - context.clock().millis()));
            refuse(
                    waiting.call(),
                    RefusalReason.DEADLINE,
                    wait,
                    "the load of model \"%s\" would pass the deadline".formatted(name),
                    actions);
        }
    }

    private void refuse(
            Pending pending, RefusalReason reason, Duration retryAfter, String message, List<Runnable> actions) {
        CallException failure = new CallException(reason, Verdict.NOT_RUN, retryAfter, message);
        actions.add(() -> pending.future.completeExceptionally(failure));
    }

    private void reportIfDue(long nowMillis, List<Runnable> actions) {
        boolean busy = waiting() > 0 || inFlight > 0 || arrivals > 0;
        long periodMillis = waiting() > 0
                ? context.limits().queuedReportMillis()
                : context.limits().busyReportMillis();
        boolean due = busy && nowMillis - lastReportMillis >= periodMillis;
        if (due || !busy && reportedBusy) {
            report(nowMillis, actions);
        }
    }

    private void report(long nowMillis, List<Runnable> actions) {
        PeerMessage.Demand demand = new PeerMessage.Demand(name, waiting(), inFlight, arrivals);
        reportedBusy = waiting() > 0 || inFlight > 0;
        arrivals = 0;
        lastReportMillis = nowMillis;
        actions.add(() -> context.demand().accept(demand));
    }

    private static final class Pending {

        private final DispatchRequest request;
        private final CompletableFuture<Seat> future = new CompletableFuture<>();

        private Pending(DispatchRequest request) {
            this.request = request;
        }
    }

    /**
     * A dispatcher's state.
     *
     * @param model the model, not null
     * @param queued calls that wait
     * @param inFlight calls on replicas
     * @param targets the loaded replicas and their upstreams, not null
     * @param placementVersion the version of the record that the latest answer reflects, -1 before the first
     */
    public record DispatcherState(
            String model, int queued, int inFlight, List<String> targets, long placementVersion) {}

    static Function<ModelName, ModelDispatcher> factory(DispatchContext context) {
        return name -> new ModelDispatcher(name, context);
    }
}
