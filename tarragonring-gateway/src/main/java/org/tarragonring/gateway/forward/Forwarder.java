package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import org.tarragonring.errors.Verdict;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.LeavingReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.fairness.CallFairness;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.quarantine.RequestQuarantine;
import org.tarragonring.gateway.routing.UnevenRouting;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.budget.RetryBudgets;
import org.tarragonring.policy.hedge.HedgePolicy;
import org.tarragonring.policy.quarantine.ReplicaRuns;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Sends calls to replicas and retries or ends them when an attempt fails.
 *
 * <p>Every attempt opens a new connection. An attempt therefore never uses a connection that broke unnoticed or that
 * still carries bytes of an earlier response, and a failed connect is known not to have run the call.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
final class Forwarder implements Attempt.Listener {

    /** The maximum number of rejections per call; the next one ends the call. */
    private static final int MAX_REJECTIONS = 8;

    /** A call with less time left than this is refused instead of sent to a replica. */
    private static final long MIN_REMAINING_MILLIS = 15;

    /** How long a call waits to be sent to a replica with fewer calls, so that a slow store does not delay its first event. */
    private static final Duration MAX_SLOT_MOVE_TIME = Duration.ofMillis(100);

    private static final String VERSION_NOT_RECORDED = "the software version of the replicas could not be recorded";

    private final ReplicaCatalog catalog;
    private final ReplicaSelector selector;
    private final HttpClientAgent client;
    private final RetryBudgets budgets;
    private final QuarantineCheck quarantineCheck;
    private final ReplicaFailureMonitor failureMonitor;
    private final MonotonicClock clock;
    private final Timers timers;
    private final PendingDeliveries deliveries;
    private final CallerConnections callerConnections;
    private final WaitingCalls waiting;
    private final LoadExpectation loadExpectation;
    private final CallFairness fairness;
    private final AvailabilityCheck availabilityCheck;
    private final ReplicaRequests requests;
    private final StreamResumption resumption;
    private final GatewayMetrics metrics;
    private final CallDurationEstimator durationEstimator;
    private final Attempt.Context context;
    private final HedgeScheduler hedges;
    private final CallEnding ending;
    private final Map<WeightKey, Integer> arrivals = new HashMap<>();
    private Runnable onWaiting = () -> {};
    private final Set<Exchange> calls = new HashSet<>();
    private boolean shuttingDown;

    /**
     * Creates a forwarder.
     *
     * @param codec reads and writes the headers of calls, not null
     * @param catalog the known replicas, not null
     * @param routing chooses a replica for a call, not null
     * @param ejections records successes and failures of replicas, not null
     * @param client opens connections to replicas, not null
     * @param budgets the retry budgets of the services, not null
     * @param quarantine the requests that make replicas fail, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules timeouts and backoff delays, not null
     * @param callerConnections reports callers that disconnect, not null
     * @param localResponses writes the responses that this entry generates itself, not null
     * @param leavingReplicas receives the announcements of replicas that are about to shut down, not null
     * @param memory bounds what is kept of responses, not null
     * @param resumption keeps streams at the software version that began them, not null
     * @param metrics records metrics of calls, not null
     * @param loadExpectation decides how long calls wait for a load, not null
     * @param fairness decides how urgent calls are, not null
     * @param hedgePolicy decides which slow calls get a second attempt, not null
     */
    Forwarder(
            CallCodec codec,
            ReplicaCatalog catalog,
            UnevenRouting routing,
            Ejections ejections,
            HttpClientAgent client,
            RetryBudgets budgets,
            RequestQuarantine quarantine,
            MonotonicClock clock,
            Timers timers,
            CallerConnections callerConnections,
            LocalResponses localResponses,
            LeavingReplicas leavingReplicas,
            MemoryBudget memory,
            StreamResumption resumption,
            GatewayMetrics metrics,
            LoadExpectation loadExpectation,
            CallFairness fairness,
            HedgePolicy hedgePolicy) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.budgets = Objects.requireNonNull(budgets, "budgets");
        this.quarantineCheck = new QuarantineCheck(quarantine, metrics);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.callerConnections = Objects.requireNonNull(callerConnections, "callerConnections");
        this.resumption = Objects.requireNonNull(resumption, "resumption");
        this.selector = new ReplicaSelector(catalog, routing, resumption);
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.durationEstimator = new CallDurationEstimator(clock);
        this.failureMonitor = new ReplicaFailureMonitor(new ReplicaRuns(clock), quarantine, ejections, client, timers);
        this.loadExpectation = Objects.requireNonNull(loadExpectation, "loadExpectation");
        this.fairness = Objects.requireNonNull(fairness, "fairness");
        this.availabilityCheck = new AvailabilityCheck(catalog, fairness);
        this.waiting = new WaitingCalls(fairness);
        this.ending = new CallEnding(calls, waiting, callerConnections, localResponses, fairness, metrics, clock);
        this.requests = new ReplicaRequests(codec, fairness, clock);
        this.hedges = new HedgeScheduler(
                hedgePolicy,
                selector,
                budgets,
                (exchange, replica) -> client.request(requests.create(exchange, replica)),
                this::startAttempt,
                failureMonitor,
                clock,
                timers,
                metrics);
        this.deliveries = new PendingDeliveries(Objects.requireNonNull(memory, "memory"));
        this.context = new Attempt.Context(
                codec,
                ejections,
                clock,
                durationEstimator,
                routing,
                failureMonitor,
                localResponses,
                Objects.requireNonNull(leavingReplicas, "leavingReplicas"),
                memory,
                deliveries,
                this);
    }

    /** Sets the action that runs each time a call starts to wait. */
    void onWaiting(Runnable action) {
        onWaiting = action;
    }

    /** Returns the number of calls that have not ended, or whose responses are not delivered yet. */
    int inFlight() {
        return calls.size() + deliveries.count();
    }

    /** Returns the calls that wait for a model or adapter. */
    WaitingCalls waiting() {
        return waiting;
    }

    CallDurationEstimator durationEstimator() {
        return durationEstimator;
    }

    /** Returns the number of calls that arrived since the last invocation, by required weights, and resets it. */
    Map<WeightKey, Integer> drainArrivals() {
        Map<WeightKey, Integer> drained = Map.copyOf(arrivals);
        arrivals.clear();
        return drained;
    }

    /** Handles the failure of a replica that was detected from its registration. */
    void onReplicaFailed(UpstreamId replica, String reason) {
        failureMonitor.onFailed(replica, reason);
    }

    /** Starts forwarding a call whose body is complete. */
    void accept(Exchange exchange) {
        calls.add(exchange);
        fairness.admit(exchange.fairCall);
        budgets.onCall(exchange.service);
        exchange.weights.ifPresent(key -> arrivals.merge(key, 1, Integer::sum));
        scheduleTimeout(exchange, exchange.deadlineMillis);
        callerConnections.onCallStarted(
                exchange.request.connection(), exchange, () -> ending.onCallerDisconnected(exchange));
        if (resumption.isResumedByCaller(exchange)) {
            resumption.findVersion(exchange).thenAccept(version -> resume(exchange, version));
        } else {
            dispatch(exchange);
        }
    }

    private void resume(Exchange exchange, Optional<SoftwareVersion> version) {
        exchange.software = version;
        dispatchOrRefuse(exchange, version.isPresent(), "it is not known which software version began the stream");
    }

    private void dispatchOrRefuse(Exchange exchange, boolean mayRun, String reason) {
        if (mayRun) {
            dispatch(exchange);
        } else if (!exchange.finished) {
            ending.refuse(exchange, reason);
        }
    }

    /** Replaces the timeout of a call by one at the given time of the monotonic clock. */
    private void scheduleTimeout(Exchange exchange, long timeoutAtMillis) {
        exchange.cancelTimeout.run();
        Duration remaining = Duration.ofMillis(timeoutAtMillis - clock.millis());
        exchange.cancelTimeout = timers.schedule(remaining, () -> ending.onTimeout(exchange))::cancel;
    }

    /** Dispatches the waiting calls whose weights are now resident on a usable replica. */
    void dispatchWaiting() {
        for (WeightKey key : waiting.keys()) {
            if (!catalog.ableToRun(key).isEmpty()) {
                waiting.removeAll(key).forEach(this::dispatch);
            }
        }
    }

    private void dispatch(Exchange exchange) {
        if (exchange.finished) {
            return;
        }
        long timeoutAtMillis = exchange.responseStarted ? exchange.deadlineMillis : exchange.firstEventDeadlineMillis;
        if (timeoutAtMillis - clock.millis() < MIN_REMAINING_MILLIS) {
            ending.refuse(exchange, "too little time remains before the deadline");
            return;
        }
        if (endIfQuarantined(exchange)) {
            return;
        }
        ReplicaSelector.Selection selection = selector.select(exchange);
        boolean isPostponed =
                selection.change().map(change -> startChange(exchange, change)).orElse(false);
        if (isPostponed) {
            return;
        }
        if (selection.picked().isPresent()) {
            send(exchange, selection.picked().get());
        } else if (selection.isAnyEligible()) {
            backOff(exchange, timeoutAtMillis);
        } else {
            waitOrRefuse(exchange);
        }
    }

    /**
     * Starts to change the record of versions so that a stream may begin at a replica.
     *
     * @return whether the call is dispatched again when that is done
     */
    private boolean startChange(Exchange exchange, ReplicaSelector.Change change) {
        switch (change.kind()) {
            case REQUIRED ->
                resumption
                        .allow(exchange, change.replica())
                        .thenAccept(isAllowed -> dispatchOrRefuse(exchange, isAllowed, VERSION_NOT_RECORDED));
            case PREFERRED -> {
                if (exchange.slotMoveTried) {
                    return false;
                }
                exchange.slotMoveTried = true;
                CompletableFuture<Boolean> moved = resumption.allow(exchange, change.replica());
                Timers.Task timeout = timers.schedule(MAX_SLOT_MOVE_TIME, () -> moved.complete(false));
                moved.thenAccept(isAllowed -> {
                    timeout.cancel();
                    dispatch(exchange);
                });
            }
            default -> {
                resumption.recordVersion(change.replica());
                return false;
            }
        }
        return true;
    }

    /** Sends a call again after a delay, as all replicas have rejected it, unless that will be too late. */
    private void backOff(Exchange exchange, long timeoutAtMillis) {
        exchange.failedReplicas.clear();
        Duration delay = exchange.nextBackoff();
        fairness.onNoRoom(exchange.fairCall);
        if (fairness.isTooLate(exchange.fairCall, delay, timeoutAtMillis - MIN_REMAINING_MILLIS)) {
            ending.refuse(exchange, "no replica will have room in time");
        } else {
            timers.schedule(delay, () -> dispatch(exchange));
        }
    }

    /** Lets a call wait for a replica that can run it, or refuses it if it is known that none will be able to. */
    private void waitOrRefuse(Exchange exchange) {
        availabilityCheck
                .refusal(exchange, CallEnding.DEFAULT_RETRY_AFTER_MILLIS)
                .ifPresentOrElse(
                        refusal -> ending.refuse(exchange, refusal.reason(), refusal.retryAfterMillis()),
                        () -> startWaiting(exchange));
    }

    /**
     * Refuses all waiting calls, and from now on all calls that would have to wait. This entry no longer learns when a
     * load completes, but other entries do.
     */
    void beginShutdown() {
        shuttingDown = true;
        for (WeightKey key : waiting.keys()) {
            waiting.removeAll(key).forEach(ending::refuseForShutdown);
        }
    }

    /** Ends all calls, as this entry has no more time. Their callers learn whether the calls may have run. */
    void endAll() {
        for (Exchange exchange : List.copyOf(calls)) {
            if (!exchange.finished) {
                ending.refuseForShutdown(exchange);
            }
        }
    }

    private void startWaiting(Exchange exchange) {
        if (shuttingDown) {
            ending.refuseForShutdown(exchange);
            return;
        }
        waiting.add(exchange);
        fairness.onWaitingForLoad(exchange.fairCall);
        hedges.onShortage(exchange);
        if (!exchange.loadCheckScheduled) {
            exchange.loadCheckScheduled = true;
            loadExpectation.scheduleChecks(exchange, waiting::contains, reason -> ending.refuse(exchange, reason));
        }
        WeightKey key = exchange.weights.orElseThrow();
        LogEvent.CALL_WAITING.logForCall(
                exchange.head.id(),
                key.model(),
                key.adapter(),
                waiting.waitingFor(key).size() - 1,
                exchange.deadlineMillis - clock.millis());
        onWaiting.run();
    }

    private void send(Exchange exchange, ReplicaState replica) {
        metrics.recordWait(clock.millis() - exchange.arrivalMillis);
        exchange.replica = replica;
        exchange.attemptNumber++;
        int attemptNumber = exchange.attemptNumber;
        client.request(requests.create(exchange, replica))
                .onFailure(failure -> onConnectFailed(exchange, replica, attemptNumber, failure))
                .onSuccess(request -> onConnected(exchange, replica, attemptNumber, request));
    }

    private void onConnectFailed(Exchange exchange, ReplicaState replica, int attemptNumber, Throwable failure) {
        if (exchange.finished || exchange.attemptNumber != attemptNumber) {
            return;
        }
        failureMonitor.onUnreachable(replica.id(), failure);
        onNotSent(exchange, replica, "no connection: " + failure.getMessage());
    }

    /** Looks for another replica, as nothing of the call was sent to this one. */
    private void onNotSent(Exchange exchange, ReplicaState replica, String reason) {
        recordFailedAttempt(exchange, replica, Verdict.NOT_RUN, reason);
        exchange.failedReplicas.add(replica.id());
        if (++exchange.rejections > MAX_REJECTIONS) {
            ending.refuse(exchange, "no replica is reachable");
        } else {
            dispatch(exchange);
        }
    }

    private void onConnected(Exchange exchange, ReplicaState replica, int attemptNumber, HttpClientRequest request) {
        boolean isSuperseded = exchange.finished || exchange.attemptNumber != attemptNumber;
        if (isSuperseded || !selector.mayRun(exchange, replica)) {
            request.connection().close();
            if (!isSuperseded) {
                dispatch(exchange);
            }
            return;
        }
        if (endIfQuarantined(exchange)) {
            request.connection().close();
            return;
        }
        if (resumption.mustCheckProcess(exchange)) {
            resumption
                    .checkProcess(replica)
                    .thenAccept(isSame -> onProcessChecked(exchange, replica, attemptNumber, request, isSame));
        } else {
            start(exchange, replica, catalog.runningProcess(replica), request);
        }
    }

    private void onProcessChecked(
            Exchange exchange, ReplicaState replica, int attemptNumber, HttpClientRequest request, boolean isSame) {
        boolean isSuperseded = exchange.finished || exchange.attemptNumber != attemptNumber;
        if (!isSuperseded && isSame && exchange.isContinuedBy(replica)) {
            start(exchange, replica, replica.process(), request);
            return;
        }
        request.connection().close();
        if (!isSuperseded) {
            onNotSent(exchange, replica, "the replica did not confirm that it runs the known process");
        }
    }

    private void start(Exchange exchange, ReplicaState replica, ReplicaProcess process, HttpClientRequest request) {
        if (exchange.reachedReplica && !budgets.tryRetry(exchange.service)) {
            request.connection().close();
            ending.refuse(exchange, "the retry budget is exhausted");
            return;
        }
        exchange.reachedReplica = true;
        new Attempt(context, exchange, replica, process, request).start();
        hedges.onSent(exchange);
    }

    private void startAttempt(Exchange exchange, ReplicaState replica, HttpClientRequest request) {
        new Attempt(context, exchange, replica, catalog.runningProcess(replica), request).start();
    }

    /** Ends a call whose request is quarantined and may not run now, and returns whether it has ended. */
    private boolean endIfQuarantined(Exchange exchange) {
        Optional<QuarantineCheck.Refusal> refusal = quarantineCheck.refusal(exchange);
        refusal.ifPresent(refused -> ending.refuse(exchange, refused.reason(), refused.retryAfterMillis()));
        return refusal.isPresent();
    }

    @Override
    public void onCompleted(Exchange exchange, int status, String reason) {
        fairness.onServed(exchange.fairCall);
        ending.finish(exchange, status, "answered", reason);
    }

    @Override
    public void onFirstEvent(Exchange exchange, ReplicaProcess process) {
        resumption.onFirstEvent(exchange, process);
        fairness.onServed(exchange.fairCall);
        metrics.recordFirstEvent(clock.millis() - exchange.arrivalMillis);
        scheduleTimeout(exchange, exchange.deadlineMillis);
    }

    @Override
    public void onResponded(Exchange exchange, ReplicaState replica, long durationMillis) {
        exchange.replica = replica;
        hedges.onResponse(exchange, replica, durationMillis);
    }

    @Override
    public void onFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason) {
        recordFailedAttempt(exchange, replica, verdict, reason);
        exchange.failedReplicas.add(replica.id());
        if (verdict == Verdict.NOT_RUN) {
            hedges.onShortage(exchange);
        }
        if (!exchange.activeRequests.isEmpty()) {
            return;
        }
        boolean mayRetry = verdict == Verdict.NOT_RUN
                ? ++exchange.rejections <= MAX_REJECTIONS
                : exchange.route.isRetryable()
                        && !exchange.bodyStarted
                        && exchange.possibleRuns < exchange.route.maxAttempts();
        if (mayRetry && budgets.canRetry(exchange.service)) {
            dispatch(exchange);
        } else {
            ending.refuse(exchange, reason);
        }
    }

    private void recordFailedAttempt(Exchange exchange, ReplicaState replica, Verdict verdict, String reason) {
        metrics.countFailedAttempt(verdict.text());
        LocalResponses.logAttemptFailed(exchange, replica, verdict, reason);
    }
}
