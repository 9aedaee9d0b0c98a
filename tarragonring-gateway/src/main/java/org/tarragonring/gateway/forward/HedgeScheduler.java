package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.budget.RetryBudgets;
import org.tarragonring.policy.hedge.CallClass;
import org.tarragonring.policy.hedge.HedgePolicy;
import org.tarragonring.policy.hedge.HedgePolicy.Suppression;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Sends slow calls that may be repeated to a second replica while the first one still works on them. The first response
 * counts; the other attempt is ended at once.
 *
 * <p>Not thread-safe.
 */
final class HedgeScheduler {

    private final HedgePolicy policy;
    private final ReplicaSelector selector;
    private final RetryBudgets budgets;
    private final BiFunction<Exchange, ReplicaState, Future<HttpClientRequest>> connector;
    private final AttemptStarter starter;
    private final ReplicaFailureMonitor failureMonitor;
    private final MonotonicClock clock;
    private final Timers timers;
    private final GatewayMetrics metrics;

    /**
     * Creates a scheduler.
     *
     * @param policy decides which calls get a second attempt, not null
     * @param selector chooses the second replica, not null
     * @param budgets the retry budgets of the services, to which second attempts count, not null
     * @param connector opens a connection to a replica for a call, not null
     * @param starter sends a call on an open connection, not null
     * @param failureMonitor learns of replicas that refuse connections, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the second attempts, not null
     * @param metrics counts the second attempts, not null
     */
    HedgeScheduler(
            HedgePolicy policy,
            ReplicaSelector selector,
            RetryBudgets budgets,
            BiFunction<Exchange, ReplicaState, Future<HttpClientRequest>> connector,
            AttemptStarter starter,
            ReplicaFailureMonitor failureMonitor,
            MonotonicClock clock,
            Timers timers,
            GatewayMetrics metrics) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.selector = Objects.requireNonNull(selector, "selector");
        this.budgets = Objects.requireNonNull(budgets, "budgets");
        this.connector = Objects.requireNonNull(connector, "connector");
        this.starter = Objects.requireNonNull(starter, "starter");
        this.failureMonitor = Objects.requireNonNull(failureMonitor, "failureMonitor");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Schedules a second attempt of a call whose first attempt was just sent. */
    void onSent(Exchange exchange) {
        if (!policy.isOn() || !exchange.route.isRetryable() || exchange.hasBegun() || exchange.possibleRuns > 1) {
            return;
        }
        policy.onCall();
        OptionalLong slowAfterMillis = policy.slowAfterMillis(callClass(exchange));
        int attemptNumber = exchange.attemptNumber;
        slowAfterMillis.ifPresent(
                millis -> timers.schedule(Duration.ofMillis(millis), () -> onSlow(exchange, attemptNumber)));
    }

    /** Records the first response, or the first event of one, to a call. */
    void onResponse(Exchange exchange, ReplicaState replica, long durationMillis) {
        if (!policy.isOn() || !exchange.route.isRetryable()) {
            return;
        }
        policy.onResponse(callClass(exchange), durationMillis);
        exchange.hedgeReplica.ifPresent(second -> metrics.countHedge(second.equals(replica.id()) ? "won" : "lost"));
        exchange.hedgeReplica = Optional.empty();
    }

    /** Records that a replica was too full for a call, or that a call waits for one. */
    void onShortage(Exchange exchange) {
        if (policy.isOn()) {
            policy.onShortage(exchange.service);
        }
    }

    private void onSlow(Exchange exchange, int attemptNumber) {
        if (exchange.attemptNumber != attemptNumber || !isFirstStillRunning(exchange)) {
            return;
        }
        Optional<ReplicaState> second = selector.selectSecond(exchange);
        Optional<Suppression> suppression = suppression(exchange, second);
        if (suppression.isPresent()) {
            metrics.countSuppressedHedge(suppression.get().text());
            return;
        }
        metrics.countHedge("sent");
        exchange.hedgeReplica = second.map(ReplicaState::id);
        LogEvent.CALL_HEDGED.logForCall(
                exchange.head.id(), second.get().id(), exchange.replica.id(), clock.millis() - exchange.arrivalMillis);
        send(exchange, second.get());
    }

    private void send(Exchange exchange, ReplicaState replica) {
        connector
                .apply(exchange, replica)
                .onFailure(failure -> failureMonitor.onUnreachable(replica.id(), failure))
                .onSuccess(request -> {
                    if (isFirstStillRunning(exchange)
                            && selector.mayRun(exchange, replica)
                            && budgets.tryRetry(exchange.service)) {
                        starter.start(exchange, replica, request);
                    } else {
                        request.connection().close();
                    }
                });
    }

    /** Returns whether the only attempt of a call still runs, and the call may run on one more replica. */
    private static boolean isFirstStillRunning(Exchange exchange) {
        return !exchange.finished
                && !exchange.responseStarted
                && exchange.activeRequests.size() == 1
                && exchange.possibleRuns < exchange.route.maxAttempts();
    }

    private Optional<Suppression> suppression(Exchange exchange, Optional<ReplicaState> second) {
        if (second.isEmpty()) {
            return Optional.of(Suppression.NO_REPLICA);
        }
        if (!budgets.canRetry(exchange.service)) {
            return Optional.of(Suppression.RETRY_BUDGET);
        }
        return policy.tryHedge(callClass(exchange), exchange.firstEventDeadlineMillis - clock.millis());
    }

    private static CallClass callClass(Exchange exchange) {
        long promptTokens =
                exchange.head.tokenCount().map(TokenCount::promptTokens).orElse(0L);
        return CallClass.of(exchange.service, exchange.route.name(), promptTokens);
    }

    /** Sends a call on an open connection to a replica. */
    @FunctionalInterface
    interface AttemptStarter {

        void start(Exchange exchange, ReplicaState replica, HttpClientRequest request);
    }
}
