package org.tarragonring.gateway.forward;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.gateway.fairness.CallFairness;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.time.MonotonicClock;

/**
 * Ends calls: refuses them, fails them or breaks their responses off, and releases what they hold.
 *
 * <p>Not thread-safe.
 */
final class CallEnding {

    /** Retry-After value when it is not known when a replica will be free. */
    static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final Set<Exchange> calls;
    private final WaitingCalls waiting;
    private final CallerConnections callerConnections;
    private final LocalResponses localResponses;
    private final CallFairness fairness;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;

    /**
     * Creates an instance.
     *
     * @param calls the calls that have not ended, from which ended ones are removed; not null
     * @param waiting the calls that wait for a model or adapter, not null
     * @param callerConnections learns which calls of a connection have ended, not null
     * @param localResponses writes the responses that this entry generates itself, not null
     * @param fairness decides when refused callers come back, not null
     * @param metrics records metrics of calls, not null
     * @param clock the monotonic clock, not null
     */
    CallEnding(
            Set<Exchange> calls,
            WaitingCalls waiting,
            CallerConnections callerConnections,
            LocalResponses localResponses,
            CallFairness fairness,
            GatewayMetrics metrics,
            MonotonicClock clock) {
        this.calls = Objects.requireNonNull(calls, "calls");
        this.waiting = Objects.requireNonNull(waiting, "waiting");
        this.callerConnections = Objects.requireNonNull(callerConnections, "callerConnections");
        this.localResponses = Objects.requireNonNull(localResponses, "localResponses");
        this.fairness = Objects.requireNonNull(fairness, "fairness");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Refuses a call as this entry shuts down. */
    void refuseForShutdown(Exchange exchange) {
        refuse(exchange, "this entry is shutting down", LocalResponses.SHUTDOWN_RETRY_AFTER_MILLIS);
    }

    /** Ends a call whose time is over. */
    void onTimeout(Exchange exchange) {
        if (exchange.finished) {
            return;
        }
        if (exchange.activeRequests.isEmpty() && exchange.possibleRuns == 0) {
            refuse(exchange, "the deadline passed while the call was waiting");
        } else if (exchange.responseStarted) {
            abort(exchange, "the deadline passed during the response");
        } else {
            fail(exchange, LocalResponses.GATEWAY_TIMEOUT, "no replica responded before the deadline");
        }
    }

    /** Ends a call whose caller has closed its connection; does nothing if it has ended. */
    void onCallerDisconnected(Exchange exchange) {
        if (!exchange.finished) {
            finish(exchange, 0, "caller-left", "the caller closed its connection");
        }
    }

    /** Refuses a call, with the time to come back that suits the capacity. */
    void refuse(Exchange exchange, String reason) {
        // The failure of a call that may have run is no lack of capacity, and it gets no Retry-After.
        boolean mayHaveRun = exchange.responseStarted || exchange.possibleRuns > 0;
        refuse(exchange, reason, mayHaveRun ? 0 : fairness.refuse(exchange.fairCall, DEFAULT_RETRY_AFTER_MILLIS));
    }

    /** Ends a call that is not sent to a replica again, as not run unless an earlier attempt may have run. */
    void refuse(Exchange exchange, String reason, long retryAfterMillis) {
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

    /** Records the end of a call, and ends its requests to replicas. */
    void finish(Exchange exchange, int status, String outcome, String reason) {
        exchange.finished = true;
        calls.remove(exchange);
        exchange.release();
        exchange.cancelTimeout.run();
        callerConnections.onCallEnded(exchange.request.connection(), exchange);
        waiting.remove(exchange);
        exchange.endOthers(null);
        metrics.recordCall(exchange.route.name(), outcome, clock.millis() - exchange.arrivalMillis);
        fairness.onEnded(exchange.fairCall, outcome, status == LocalResponses.UNAVAILABLE);
        LocalResponses.logCallEnded(exchange, clock.millis(), status, outcome, reason);
    }
}
