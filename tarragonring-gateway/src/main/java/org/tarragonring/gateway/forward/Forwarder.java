package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import org.tarragonring.errors.Verdict;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.budget.RepeatBudgets;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.routing.ReplicaPicker;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Sends calls to replicas and decides what follows when an attempt fails.
 *
 * <p>Every attempt has a connection of its own. So no attempt meets a connection that died unnoticed, or bytes of an
 * earlier answer, and a connection that cannot be established is known to have run nothing.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
final class Forwarder implements Attempt.Owner {

    /** The largest number of rejections that one call survives. */
    private static final int MAX_REJECTIONS = 8;

    /** The first pause before a call that every replica rejected is tried again; each further one is twice as long. */
    private static final long FIRST_REJECTED_PAUSE_MILLIS = 40;

    /** The longest such pause. An order makes a replica reject calls until it is complete, seconds at most. */
    private static final long LONGEST_REJECTED_PAUSE_MILLIS = 640;

    /** The time below which sending a call on makes no sense. */
    private static final long MIN_REMAINING_MILLIS = 15;

    /** When a waiting call is refused if nothing is under way for it, as a share of its caller's patience. */
    private static final double CHANCE_CHECK_SHARE = 0.45;

    /** The least time from a model's load to the first event of a call. */
    private static final long MIN_SERVICE_MILLIS = 100;

    /** What callers of an entry that leaves are told: another entry can take them at once. */
    private static final long LEAVING_RETRY_AFTER_MILLIS = 50;

    /** What callers are told when nothing is known about when a place is free. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final CallCodec codec;
    private final ReplicaCatalog catalog;
    private final ReplicaPicker picker;
    private final Ejections ejections;
    private final HttpClientAgent client;
    private final RepeatBudgets budgets;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Answers answers;
    private final WaitingCalls waiting = new WaitingCalls();
    private final GatewayMetrics metrics;
    private final RunTimes runTimes;
    private final Attempt.Context context;
    private final Map<WeightKey, Integer> arrivals = new HashMap<>();
    private Runnable onWaiting = () -> {};
    private boolean leaving;
    private int inFlight;

    /**
     * Creates a forwarder.
     *
     * @param codec knows the headers, not null
     * @param catalog the replicas, not null
     * @param picker chooses replicas, not null
     * @param ejections takes what replicas did, not null
     * @param client opens connections, not null
     * @param budgets the budget of repeats of each service, not null
     * @param clock the monotonic clock, not null
     * @param timers runs time-outs, not null
     * @param answers writes this entry's own answers, not null
     * @param metrics counts calls, not null
     */
    Forwarder(
            CallCodec codec,
            ReplicaCatalog catalog,
            ReplicaPicker picker,
            Ejections ejections,
            HttpClientAgent client,
            RepeatBudgets budgets,
            MonotonicClock clock,
            Timers timers,
            Answers answers,
            GatewayMetrics metrics) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.picker = Objects.requireNonNull(picker, "picker");
        this.ejections = Objects.requireNonNull(ejections, "ejections");
        this.client = Objects.requireNonNull(client, "client");
        this.budgets = Objects.requireNonNull(budgets, "budgets");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.answers = Objects.requireNonNull(answers, "answers");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.runTimes = new RunTimes(clock);
        this.context = new Attempt.Context(codec, ejections, clock, runTimes, answers, this);
    }

    /** Sets what runs when a call begins to wait. */
    void onWaiting(Runnable action) {
        onWaiting = action;
    }

    /** Returns the calls that have not ended. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the calls that wait. */
    WaitingCalls waiting() {
        return waiting;
    }

    /** Returns what is known of how long calls run. */
    RunTimes runTimes() {
        return runTimes;
    }

    /** Returns and forgets the arrivals since the last time, by what they need. */
    Map<WeightKey, Integer> takeArrivals() {
        Map<WeightKey, Integer> taken = Map.copyOf(arrivals);
        arrivals.clear();
        return taken;
    }

    /** Takes a call whose body has arrived. */
    void accept(Exchange exchange) {
        inFlight++;
        budgets.onCall(exchange.service);
        exchange.weights.ifPresent(key -> arrivals.merge(key, 1, Integer::sum));
        limitTo(exchange, exchange.endMillis);
        exchange.request.connection().closeHandler(closed -> onCallerGone(exchange));
        dispatch(exchange);
    }

    /** Ends a call at a time unless it has ended before. */
    private void limitTo(Exchange exchange, long untilMillis) {
        exchange.cancelTimer.run();
        Timers.Task timeout =
                timers.schedule(Duration.ofMillis(untilMillis - clock.millis()), () -> onTimeout(exchange));
        exchange.cancelTimer = timeout::cancel;
    }

    /** Tries all calls that wait. */
    void retryWaiting() {
        for (WeightKey key : waiting.keys()) {
            if (!catalog.holding(key).isEmpty()) {
                waiting.take(key).forEach(this::dispatch);
            }
        }
    }

    private void dispatch(Exchange exchange) {
        if (exchange.finished) {
            return;
        }
        long untilMillis = exchange.answering ? exchange.endMillis : exchange.firstEventMillis;
        if (untilMillis - clock.millis() < MIN_REMAINING_MILLIS) {
            refuse(exchange, "too little time is left");
            return;
        }
        List<ReplicaState> all = exchange.weights.isPresent()
                ? catalog.holding(exchange.weights.get())
                : catalog.usable(exchange.service);
        List<ReplicaState> fresh =
                all.stream().filter(r -> !exchange.avoided.contains(r.id())).toList();
        Optional<ReplicaState> picked = picker.pick(fresh, exchange.affinityKey());
        if (picked.isPresent()) {
            send(exchange, picked.get());
        } else if (!all.isEmpty()) {
            exchange.avoided.clear();
            timers.schedule(rejectedPause(exchange), () -> dispatch(exchange));
        } else if (exchange.weights.isPresent()) {
            park(exchange);
        } else {
            refuse(exchange, "no replica of service %s may get work".formatted(exchange.service));
        }
    }

    private static Duration rejectedPause(Exchange exchange) {
        long pauseMillis = FIRST_REJECTED_PAUSE_MILLIS << exchange.pauses;
        if (pauseMillis >= LONGEST_REJECTED_PAUSE_MILLIS) {
            return Duration.ofMillis(LONGEST_REJECTED_PAUSE_MILLIS);
        }
        exchange.pauses++;
        return Duration.ofMillis(pauseMillis);
    }

    /** Refuses the calls that wait, and those that would: this entry no longer hears of loads, others do. */
    void leave() {
        leaving = true;
        for (WeightKey key : waiting.keys()) {
            waiting.take(key).forEach(this::refuseAsLeaving);
        }
    }

    private void refuseAsLeaving(Exchange exchange) {
        refuse(exchange, "this entry is leaving", LEAVING_RETRY_AFTER_MILLIS);
    }

    private void park(Exchange exchange) {
        if (leaving) {
            refuseAsLeaving(exchange);
            return;
        }
        waiting.add(exchange);
        if (!exchange.chanceChecked) {
            exchange.chanceChecked = true;
            long patienceMillis = exchange.firstEventMillis - exchange.arrivedMillis;
            long checkMillis = exchange.arrivedMillis + (long) (patienceMillis * CHANCE_CHECK_SHARE);
            timers.schedule(Duration.ofMillis(checkMillis - clock.millis()), () -> refuseWithoutChance(exchange));
        }
        WeightKey key = exchange.weights.orElseThrow();
        LogEvent.CALL_WAITS.logForCall(
                exchange.head.id(),
                key.model(),
                key.adapter(),
                waiting.waitingFor(key).size() - 1,
                exchange.endMillis - clock.millis());
        onWaiting.run();
    }

    /**
     * Refuses a call for which nothing is under way while its caller still has the time to come back, since a caller
     * that is held until it gives up does not. An adapter of a resident model is there soon.
     */
    private void refuseWithoutChance(Exchange exchange) {
        if (exchange.finished || exchange.answering || !waiting.contains(exchange)) {
            return;
        }
        WeightKey key = exchange.weights.orElseThrow();
        long latestMillis = exchange.firstEventMillis - MIN_SERVICE_MILLIS;
        boolean isUnderWay = catalog.usable(key.service()).stream()
                .anyMatch(replica -> replica.holds(key.model(), "")
                        || replica.loading().equals(Optional.of(key.model()))
                                && replica.loadingUntilMillis() <= latestMillis);
        if (!isUnderWay) {
            refuse(exchange, "nothing is under way for model %s %s".formatted(key.model(), key.adapter()));
        }
    }

    private void send(Exchange exchange, ReplicaState replica) {
        metrics.sent(clock.millis() - exchange.arrivedMillis);
        exchange.replica = replica;
        exchange.attempt++;
        long remainingMillis = exchange.endMillis - clock.millis();
        RequestOptions options = new RequestOptions()
                .setHost(replica.listed().address().host())
                .setPort(replica.listed().address().port())
                .setMethod(exchange.request.method())
                .setURI(exchange.request.uri())
                .setHeaders(codec.toReplica(
                        exchange.request.headers(),
                        replica.id(),
                        Duration.ofMillis(remainingMillis),
                        exchange.framer.lastId()));
        int attempt = exchange.attempt;
        client.request(options)
                .onFailure(failure -> onNotConnected(exchange, replica, attempt, failure))
                .onSuccess(request -> onConnected(exchange, replica, attempt, request));
    }

    private void onNotConnected(Exchange exchange, ReplicaState replica, int attempt, Throwable failure) {
        if (exchange.finished || exchange.attempt != attempt) {
            return;
        }
        ejections.recordUnreachable(replica.id());
        logAttempt(exchange, Verdict.NOT_RUN, "no connection: " + failure.getMessage());
        exchange.avoided.add(replica.id());
        exchange.rejections++;
        if (exchange.rejections > MAX_REJECTIONS) {
            refuse(exchange, "no replica could be reached");
        } else {
            dispatch(exchange);
        }
    }

    private void onConnected(Exchange exchange, ReplicaState replica, int attempt, HttpClientRequest request) {
        boolean isStale = exchange.finished || exchange.attempt != attempt;
        if (isStale || !catalog.isUsable(replica)) {
            request.connection().close();
            if (!isStale) {
                dispatch(exchange);
            }
            return;
        }
        if (exchange.arrived && !budgets.tryRepeat(exchange.service)) {
            request.connection().close();
            giveUp(exchange, "the budget of repeats is used up");
            return;
        }
        exchange.arrived = true;
        new Attempt(context, exchange, replica, request).begin();
    }

    /** Ends a call that is not sent again. */
    private void giveUp(Exchange exchange, String reason) {
        if (exchange.runs == 0) {
            refuse(exchange, reason);
        } else {
            fail(exchange, Answers.BAD_GATEWAY, reason);
        }
    }

    private void onTimeout(Exchange exchange) {
        if (exchange.finished) {
            return;
        }
        if (exchange.current == null) {
            refuse(exchange, "the deadline passed while the call waited");
        } else if (exchange.answering) {
            breakOff(exchange, "the deadline passed while the answer was under way");
        } else {
            fail(exchange, Answers.GATEWAY_TIMEOUT, "the replica did not answer before the deadline");
        }
    }

    private void onCallerGone(Exchange exchange) {
        if (!exchange.finished) {
            finish(exchange, 0, "caller-left", "the caller closed its connection");
        }
    }

    private void refuse(Exchange exchange, String reason) {
        refuse(exchange, reason, DEFAULT_RETRY_AFTER_MILLIS);
    }

    private void refuse(Exchange exchange, String reason, long retryAfterMillis) {
        if (exchange.answering) {
            breakOff(exchange, reason);
            return;
        }
        answers.refuse(exchange.request, reason, retryAfterMillis);
        finish(exchange, Answers.UNAVAILABLE, "refused", reason);
    }

    private void fail(Exchange exchange, int status, String reason) {
        if (exchange.answering) {
            breakOff(exchange, reason);
            return;
        }
        answers.fail(exchange.request, status, reason);
        finish(exchange, status, "failed", reason);
    }

    /** Closes the caller's connection, so that an answer that is not complete does not look so. */
    private void breakOff(Exchange exchange, String reason) {
        finish(exchange, exchange.request.response().getStatusCode(), "broken-off", reason);
        exchange.request.connection().close();
    }

    private void finish(Exchange exchange, int status, String outcome, String reason) {
        exchange.finished = true;
        inFlight--;
        exchange.cancelTimer.run();
        waiting.remove(exchange);
        HttpClientRequest current = exchange.current;
        exchange.current = null;
        if (current != null) {
            current.connection().close();
        }
        metrics.callEnded(exchange.route.name(), outcome, clock.millis() - exchange.arrivedMillis);
        Answers.log(exchange, clock.millis(), status, outcome, reason);
    }

    @Override
    public void onAnswered(Exchange exchange, int status, String reason) {
        finish(exchange, status, "answered", reason);
    }

    @Override
    public void onFirstEvent(Exchange exchange) {
        metrics.firstEvent(clock.millis() - exchange.arrivedMillis);
        limitTo(exchange, exchange.endMillis);
    }

    @Override
    public void onFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason) {
        logAttempt(exchange, verdict, reason);
        exchange.avoided.add(replica.id());
        boolean mayRepeat = verdict == Verdict.NOT_RUN
                ? ++exchange.rejections <= MAX_REJECTIONS
                : exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxAttempts();
        if (mayRepeat && budgets.hasRepeat(exchange.service)) {
            dispatch(exchange);
        } else {
            giveUp(exchange, reason);
        }
    }

    private void logAttempt(Exchange exchange, Verdict verdict, String reason) {
        metrics.attemptFailed(verdict.text());
        LogEvent.ATTEMPT_FAILED.logForCall(exchange.head.id(), exchange.replica.id(), verdict.text(), reason);
    }
}
