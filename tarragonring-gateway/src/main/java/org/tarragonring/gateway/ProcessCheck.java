package org.tarragonring.gateway;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.tarragonring.gateway.call.ReplicaClient;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.replica.ReplicaState;

/** Asks a replica whether it still runs the process that this entry knows. */
final class ProcessCheck implements Function<ReplicaState, CompletableFuture<Boolean>> {

    private final ReplicaClient client;

    ProcessCheck(ReplicaClient client) {
        this.client = Objects.requireNonNull(client, "client");
    }

    @Override
    public CompletableFuture<Boolean> apply(ReplicaState replica) {
        return client.report(replica.listed())
                .map(report -> report.holdings().processStartMillis()
                        == replica.process().startMillis())
                .onFailure()
                .recoverWithItem(failure -> {
                    LogEvent.DEPENDENCY_STATE.log("replica " + replica.id(), false, failure.getMessage());
                    return false;
                })
                .subscribeAsCompletionStage();
    }
}
