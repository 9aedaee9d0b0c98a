package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.tarragonring.gateway.quarantine.RequestQuarantine;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.quarantine.ReplicaRuns;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.time.Timers;

/**
 * Detects that a replica has failed, and reports the requests that it was running then. A lost response alone is no
 * failure of the replica: it must also refuse connections, lose its registration or register as a new process.
 *
 * <p>Not thread-safe.
 */
final class ReplicaFailureMonitor {

    /**
     * The time until a replica that broke off a run is checked once more. A process that ends closes its sockets one
     * after the other, so that it may accept a connection after it has closed others.
     */
    private static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(150);

    private final ReplicaRuns runs;
    private final RequestQuarantine quarantine;
    private final Ejections ejections;
    private final HttpClientAgent client;
    private final Timers timers;

    ReplicaFailureMonitor(
            ReplicaRuns runs,
            RequestQuarantine quarantine,
            Ejections ejections,
            HttpClientAgent client,
            Timers timers) {
        this.runs = Objects.requireNonNull(runs, "runs");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.ejections = Objects.requireNonNull(ejections, "ejections");
        this.client = Objects.requireNonNull(client, "client");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    ReplicaRuns.Run onRunStarted(Exchange exchange, ReplicaState replica) {
        return runs.start(replica.id(), exchange::suspects);
    }

    /** Handles the end of a run that the replica answered completely or rejected. */
    void onRunAnswered(ReplicaRuns.Run run) {
        runs.end(run, true);
    }

    /** Handles a complete successful response: neither the request nor a part of its prompt makes replicas fail. */
    void onSuccess(Exchange exchange) {
        quarantine.onAnswered(exchange::fingerprint, exchange.promptParts());
    }

    /** Handles the end of a run without a complete response. */
    void onRunUnanswered(ReplicaRuns.Run run) {
        runs.end(run, false);
    }

    /** Checks whether a replica that broke off a run still accepts connections. */
    void checkConnection(ReplicaState replica) {
        if (!replica.availability().isLeaving()) {
            connectTo(replica, () -> timers.schedule(SECOND_CHECK_DELAY, () -> connectTo(replica, () -> {})));
        }
    }

    private void connectTo(ReplicaState replica, Runnable onConnected) {
        RequestOptions options = new RequestOptions()
                .setHost(replica.listed().address().host())
                .setPort(replica.listed().address().port())
                .setMethod(HttpMethod.GET);
        client.request(options)
                .onSuccess(request -> {
                    request.connection().close();
                    onConnected.run();
                })
                .onFailure(failure -> onUnreachable(replica.id(), failure));
    }

    /** Handles a connection that could not be established. */
    void onUnreachable(UpstreamId replica, Throwable failure) {
        ejections.recordUnreachable(replica);
        onFailed(replica, "no connection: " + failure.getMessage());
    }

    /** Handles the failure of a replica. */
    void onFailed(UpstreamId replica, String reason) {
        List<FailedRun> failedRuns = runs.takeFailed(replica);
        if (!failedRuns.isEmpty()) {
            LogEvent.REPLICA_FAILED.log(replica, failedRuns.size(), reason);
            quarantine.onFailedRuns(failedRuns);
        }
    }
}
