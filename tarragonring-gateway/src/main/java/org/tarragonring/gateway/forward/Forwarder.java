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

    /** Retry-After value when it is not known when a replica will be free. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private static final String VERSION_NOT_RECORDED = "the software version of the replicas could not be recorded";

    private final ReplicaCatalog catalog;
    private final ReplicaSelector selector;
    private final HttpClientAgent client;
    private final RetryBudgets budgets;
    private final QuarantineCheck quarantineCheck;
    private final ReplicaFailureMonitor failureMonitor;
    private final MonotonicClock clock;
    private final Timers timers;
    private final CallerConnections callerConnections;
    private final LocalResponses localResponses;
    private final WaitingCalls waiting;
    private final LoadExpectation loadExpectation;
    private final CallFairness fairness;
    private final AvailabilityCheck availabilityCheck;
    private final ReplicaRequests requests;
    private final StreamResumption resumption;
    private final GatewayMetrics metrics;
    private final CallDurationEstimator durationEstimator;
    private final Attempt.Context context;
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
            CallFairness fairness) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.client = Objects.requireNonNull(client, "client");
        this.budgets = Objects.requireNonNull(budgets, "budgets");
        this.quarantineCheck = new QuarantineCheck(quarantine, metrics);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.callerConnections = Objects.requireNonNull(callerConnections, "callerConnections");
        this.localResponses = Objects.requireNonNull(localResponses, "localResponses");
        this.resumption = Objects.requireNonNull(resumption, "resumption");
        this.selector = new ReplicaSelector(catalog, routing, resumption);
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.durationEstimator = new CallDurationEstimator(clock);
        this.failureMonitor = new ReplicaFailureMonitor(new ReplicaRuns(clock), quarantine, ejections, client, timers);
        this.loadExpectation = Objects.requireNonNull(loadExpectation, "loadExpectation");
        this.fairness = Objects.requireNonNull(fairness, "fairness");
        this.availabilityCheck = new AvailabilityCheck(catalog, fairness);
        this.waiting = new WaitingCalls(fairness);
        this.requests = new ReplicaRequests(codec, fairness, clock);
        this.context = new Attempt.Context(
                codec,
                ejections,
                clock,
                durationEstimator,
                routing,
                failureMonitor,
                localResponses,
                Objects.requireNonNull(leavingReplicas, "leavingReplicas"),
                Objects.requireNonNull(memory, "memory"),
                this);
    }

    /** Sets the action that runs each time a call starts to wait. */
    void onWaiting(Runnable action) {
        onWaiting = action;
    }

    /** Returns the number of calls that have not ended. */
    int inFlight() {
        return calls.size();
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
        callerConnections.onCallStarted(exchange.request.connection(), () -> onCallerDisconnected(exchange));
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
            refuse(exchange, reason);
        }
    }

    /** Replaces the timeout of a call by one at the given time of the monotonic clock. */
    private void scheduleTimeout(Exchange exchange, long timeoutAtMillis) {
        exchange.cancelTimeout.run();
        Duration remaining = Duration.ofMillis(timeoutAtMillis - clock.millis());
        exchange.cancelTimeout = timers.schedule(remaining, () -> onTimeout(exchange))::cancel;
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
            refuse(exchange, "too little time remains before the deadline");
            return;
        }
        if (endIfQuarantined(exchange)) {
            return;
        }
        ReplicaSelector.Selection selection = selector.select(exchange);
        Optional<CompletableFuture<Boolean>> recording = selection.unrecorded().map(resumption::recordVersion);
        if (selection.picked().isPresent()) {
            send(exchange, selection.picked().get());
        } else if (recording.isPresent()) {
            recording.get().thenAccept(isRecorded -> dispatchOrRefuse(exchange, isRecorded, VERSION_NOT_RECORDED));
        } else if (selection.isAnyEligible()) {
            backOff(exchange, timeoutAtMillis);
        } else {
            waitOrRefuse(exchange);
        }
    }

    /** Sends a call again after a delay, as all replicas have rejected it, unless that will be too late. */
    private void backOff(Exchange exchange, long timeoutAtMillis) {
        exchange.failedReplicas.clear();
        Duration delay = exchange.nextBackoff();
        fairness.onNoRoom(exchange.fairCall);
        if (fairness.isTooLate(exchange.fairCall, delay, timeoutAtMillis - MIN_REMAINING_MILLIS)) {
            refuse(exchange, "no replica will have room in time");
        } else {
            timers.schedule(delay, () -> dispatch(exchange));
        }
    }

    /** Lets a call wait for a replica that can run it, or refuses it if it is known that none will be able to. */
    private void waitOrRefuse(Exchange exchange) {
        availabilityCheck
                .refusal(exchange, DEFAULT_RETRY_AFTER_MILLIS)
                .ifPresentOrElse(
                        refusal -> refuse(exchange, refusal.reason(), refusal.retryAfterMillis()),
                        () -> startWaiting(exchange));
    }

    /**
     * Refuses all waiting calls, and from now on all calls that would have to wait. This entry no longer learns when a
     * load completes, but other entries do.
     */
    void beginShutdown() {
        shuttingDown = true;
        for (WeightKey key : waiting.keys()) {
            waiting.removeAll(key).forEach(this::refuseForShutdown);
        }
    }

    /** Ends all calls, as this entry has no more time. Their callers learn whether the calls may have run. */
    void endAll() {
        for (Exchange exchange : List.copyOf(calls)) {
            if (!exchange.finished) {
                refuseForShutdown(exchange);
            }
        }
    }

    private void refuseForShutdown(Exchange exchange) {
        refuse(exchange, "this entry is shutting down", LocalResponses.SHUTDOWN_RETRY_AFTER_MILLIS);
    }

    private void startWaiting(Exchange exchange) {
        if (shuttingDown) {
            refuseForShutdown(exchange);
            return;
        }
        waiting.add(exchange);
        fairness.onWaitingForLoad(exchange.fairCall);
        if (!exchange.loadCheckScheduled) {
            exchange.loadCheckScheduled = true;
            loadExpectation.scheduleChecks(exchange, waiting::contains, reason -> refuse(exchange, reason));
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
        recordFailedAttempt(exchange, Verdict.NOT_RUN, reason);
        exchange.failedReplicas.add(replica.id());
        if (++exchange.rejections > MAX_REJECTIONS) {
            refuse(exchange, "no replica is reachable");
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
            refuse(exchange, "the retry budget is exhausted");
            return;
        }
        exchange.reachedReplica = true;
        new Attempt(context, exchange, replica, process, request).start();
    }

    /** Ends a call whose request is quarantined and may not run now, and returns whether it has ended. */
    private boolean endIfQuarantined(Exchange exchange) {
        Optional<QuarantineCheck.Refusal> refusal = quarantineCheck.refusal(exchange);
        refusal.ifPresent(refused -> refuse(exchange, refused.reason(), refused.retryAfterMillis()));
        return refusal.isPresent();
    }

    private void onTimeout(Exchange exchange) {
        if (exchange.finished) {
            return;
        }
        if (exchange.activeRequest == null && exchange.possibleRuns == 0) {
            refuse(exchange, "the deadline passed while the call was waiting");
        } else if (exchange.responseStarted) {
            abort(exchange, "the deadline passed during the response");
        } else {
            fail(exchange, LocalResponses.GATEWAY_TIMEOUT, "no replica responded before the deadline");
        }
    }

    private void onCallerDisconnected(Exchange exchange) {
        if (!exchange.finished) {
            finish(exchange, 0, "caller-left", "the caller closed its connection");
        }
    }

    private void refuse(Exchange exchange, String reason) {
        // The failure of a call that may have run is no lack of capacity, and it gets no Retry-After.
        boolean mayHaveRun = exchange.responseStarted || exchange.possibleRuns > 0;
        refuse(exchange, reason, mayHaveRun ? 0 : fairness.refuse(exchange.fairCall, DEFAULT_RETRY_AFTER_MILLIS));
    }

    /** Ends a call that is not sent to a replica again, as not run unless an earlier attempt may have run. */
    private void refuse(Exchange exchange, String reason, long retryAfterMillis) {
        if (exchange.responseStarted || exchange.possibleRuns > 0) {
            fail(exchange, LocalResponses.BAD_GATEWAY, reason);
            return;
        }
        localResponses.sendUnavailable(exchange.request, reason, retryAfterMillis);
        finish(exchange, LocalResponses.UNAVAILABLE, "refused", reason);
    }

    private void fail(Exchange exchange, int status, String reason) {
        if (exchange.responseStarted) {
            abort(exchange, reason);
            return;
        }
        localResponses.sendError(exchange.request, status, reason);
        finish(exchange, status, "failed", reason);
    }

    /** Closes the caller's connection, so that the caller does not take a truncated response for a complete one. */
    private void abort(Exchange exchange, String reason) {
        finish(exchange, exchange.request.response().getStatusCode(), "broken-off", reason);
        exchange.request.connection().close();
    }

    private void finish(Exchange exchange, int status, String outcome, String reason) {
        exchange.finished = true;
        calls.remove(exchange);
        exchange.release();
        exchange.cancelTimeout.run();
        callerConnections.onCallEnded(exchange.request.connection());
        waiting.remove(exchange);
        HttpClientRequest activeRequest = exchange.activeRequest;
        exchange.activeRequest = null;
        if (activeRequest != null) {
            activeRequest.connection().close();
        }
        metrics.recordCall(exchange.route.name(), outcome, clock.millis() - exchange.arrivalMillis);
        fairness.onEnded(exchange.fairCall, outcome, status == LocalResponses.UNAVAILABLE);
        LocalResponses.logCallEnded(exchange, clock.millis(), status, outcome, reason);
    }

    @Override
    public void onCompleted(Exchange exchange, int status, String reason) {
        fairness.onServed(exchange.fairCall);
        finish(exchange, status, "answered", reason);
    }

    @Override
    public void onFirstEvent(Exchange exchange, ReplicaProcess process) {
        resumption.onFirstEvent(exchange, process);
        fairness.onServed(exchange.fairCall);
        metrics.recordFirstEvent(clock.millis() - exchange.arrivalMillis);
        scheduleTimeout(exchange, exchange.deadlineMillis);
    }

    @Override
    public void onFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason) {
        recordFailedAttempt(exchange, verdict, reason);
        exchange.failedReplicas.add(replica.id());
        boolean mayRetry = verdict == Verdict.NOT_RUN
                ? ++exchange.rejections <= MAX_REJECTIONS
                : exchange.route.isRetryable()
                        && !exchange.bodyStarted
                        && exchange.possibleRuns < exchange.route.maxAttempts();
        if (mayRetry && budgets.canRetry(exchange.service)) {
            dispatch(exchange);
        } else {
            refuse(exchange, reason);
        }
    }

    private void recordFailedAttempt(Exchange exchange, Verdict verdict, String reason) {
        metrics.countFailedAttempt(verdict.text());
        LocalResponses.logAttemptFailed(exchange, verdict, reason);
    }
}
