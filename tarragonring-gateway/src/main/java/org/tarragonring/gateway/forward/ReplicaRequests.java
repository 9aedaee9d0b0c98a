package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.http.RequestOptions;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.ReplicaRequestHead;
import org.tarragonring.gateway.fairness.CallFairness;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

/** Creates the requests by which calls are sent to replicas. */
final class ReplicaRequests {

    private final CallCodec codec;
    private final CallFairness fairness;
    private final MonotonicClock clock;

    ReplicaRequests(CallCodec codec, CallFairness fairness, MonotonicClock clock) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.fairness = Objects.requireNonNull(fairness, "fairness");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns the address and the head of the request for an attempt that begins now. */
    RequestOptions create(Exchange exchange, ReplicaState replica) {
        long remainingMillis = exchange.deadlineMillis - clock.millis();
        return new RequestOptions()
                .setHost(replica.listed().address().host())
                .setPort(replica.listed().address().port())
                .setMethod(exchange.request.method())
                .setURI(exchange.request.uri())
                .setHeaders(codec.toReplica(
                        exchange.request.headers(),
                        new ReplicaRequestHead(
                                replica.id(),
                                Duration.ofMillis(remainingMillis),
                                exchange.framer.lastId(),
                                exchange.callerIdentity(),
                                fairness.urgency(exchange.fairCall))));
    }
}
