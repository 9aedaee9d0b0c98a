package org.tarragonring.gateway.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.replica.ReplicaState;

/** One call from its arrival to its end. Not safe for use by several threads. */
final class Exchange {

    final HttpServerRequest request;
    final CallHead head;
    final Route route;
    final ServiceName service;
    final Optional<WeightKey> weights;
    final Buffer body;
    final long arrivedMillis;
    /** When the call must have ended. */
    final long endMillis;
    /** When the caller gives up unless something has arrived. */
    final long firstEventMillis;

    final Set<UpstreamId> avoided = new HashSet<>();
    final EventFramer framer = new EventFramer();
    HttpClientRequest current;
    ReplicaState replica;
    Runnable cancelTimer = () -> {};
    int attempt;
    int runs;
    int rejections;
    int pauses;
    /** Whether an attempt has reached a replica, so that the next one is a repeat. */
    boolean arrived;

    boolean chanceChecked;
    boolean answering;
    boolean finished;

    Exchange(
            HttpServerRequest request,
            CallHead head,
            Route route,
            ServiceName service,
            Buffer body,
            long arrivedMillis,
            long endMillis,
            long firstEventMillis) {
        this.request = request;
        this.head = head;
        this.route = route;
        this.service = service;
        this.weights = head.model().map(model -> new WeightKey(service, model, head.adapter()));
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.endMillis = endMillis;
        this.firstEventMillis = firstEventMillis;
    }

    /** Names the shared part of the prompt by which calls keep to a replica: the last one before the call's own. */
    String affinityKey() {
        int parts = head.promptParts().size();
        if (weights.isEmpty() || parts == 0) {
            return "";
        }
        String part = head.promptParts().get(Math.max(0, parts - 2));
        return weights.get().model() + "/" + weights.get().adapter() + "/" + part;
    }
}
