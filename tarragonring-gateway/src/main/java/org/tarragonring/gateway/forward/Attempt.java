package org.tarragonring.gateway.forward;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.errors.Verdict;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.LeavingReplicas;
import org.tarragonring.gateway.routing.AttemptTiming;
import org.tarragonring.gateway.routing.UnevenRouting;
import org.tarragonring.ids.ModelName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.quarantine.ReplicaRuns;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.MediaTypes;
import org.tarragonring.upstream.ResponseFraming;

/**
 * One request to a replica, from the established connection to the end of the response. Not thread-safe.
 */
final class Attempt {

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVER_ERROR = 500;

    /** The size up to which a body is kept until it is complete. */
    private static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;

    /** The maximum size of an event; the part that has arrived is kept until the event is complete. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** How long a replica gets no calls for an adapter that it reported missing; a load may complete in this time. */
    private static final long MISSING_ADAPTER_EXCLUSION_MILLIS = 60;

    /**
     * How long a replica gets no calls for a model that it reported missing, unless newer orders of the replica become
     * known earlier. The replica list lags by one or two seconds.
     */
    private static final long MISSING_MODEL_EXCLUSION_MILLIS = 1_500;

    private final Context context;
    private final Exchange exchange;
    private final ReplicaState replica;
    private final ReplicaProcess process;
    private final HttpClientRequest request;
    /** What is kept of the response until it is complete. */
    private final MemoryBudget.Reservation memory;

    private ReplicaRuns.Run run;
    private AttemptTiming timing;
    private boolean ended;
    private boolean responding;
    private long sentMillis;

    /** Completes when the whole request was written to the connection. */
    private Future<Void> requestSent = Future.failedFuture("not started");

    private boolean connectionFailed;

    /**
     * Creates an attempt that is not started.
     *
     * @param context the collaborators that all attempts share, not null
     * @param exchange the call, not null
     * @param replica the replica, not null
     * @param process the process of the replica at the other end of the connection, as far as it is known; not null
     * @param request the request on an established connection, not null
     */
    Attempt(
            Context context,
            Exchange exchange,
            ReplicaState replica,
            ReplicaProcess process,
            HttpClientRequest request) {
        this.context = context;
        this.exchange = exchange;
        this.replica = replica;
        this.process = process;
        this.request = request;
        this.memory = context.memory.reserve();
    }

    void start() {
        exchange.activeRequests.add(request);
        sentMillis = context.clock.millis();
        replica.callStarted(model());
        context.durationEstimator.onStarted(replica.id(), exchange);
        timing = context.routing.onSent(process, exchange.profile(), exchange.timingKind());
        run = context.failureMonitor.onRunStarted(exchange, replica);
        exchange.possibleRuns++;
        LogEvent.CALL_SENT.logForCall(
                exchange.head.id(),
                exchange.attemptNumber,
                replica.id(),
                replica.inFlight() - 1,
                context.clock.millis() - exchange.arrivalMillis,
                exchange.deadlineMillis - context.clock.millis());
        request.connection().exceptionHandler(failure -> connectionFailed = true);
        request.connection().closeHandler(closed -> onClosed());
        request.response()
                .onSuccess(this::onResponse)
                .onFailure(failure -> failed(Verdict.MAY_HAVE_RUN, "no response: " + failure.getMessage()));
        requestSent = request.end(exchange.body);
    }

    private ModelName model() {
        return exchange.weights.map(WeightKey::model).orElse(null);
    }

    /**
     * Removes the attempt from the in-flight counts.
     *
     * @param answered whether the replica completed its response or rejected the call
     * @param succeeded whether the response was a success
     * @return false if the attempt had already ended
     */
    private boolean end(boolean answered, boolean succeeded) {
        if (ended) {
            return false;
        }
        ended = true;
        memory.release();
        context.durationEstimator.onEnded(replica.id(), exchange, succeeded);
        timing.onEnded(succeeded);
        if (answered) {
            context.failureMonitor.onRunAnswered(run);
        } else {
            context.failureMonitor.onRunUnanswered(run);
        }
        replica.callEnded(model());
        exchange.activeRequests.remove(request);
        return true;
    }

    /** Handles the end of the connection. Of a response, a part may still wait until the caller has read what came before. */
    private void onClosed() {
        if (!ended && !responding) {
            failed(Verdict.MAY_HAVE_RUN, "the replica closed the connection");
        }
    }

    private void failed(Verdict verdict, String reason) {
        boolean isCurrent = exchange.activeRequests.contains(request);
        if (!end(verdict != Verdict.MAY_HAVE_RUN, false)) {
            return;
        }
        request.connection().close();
        if (exchange.finished || !isCurrent) {
            return;
        }
        if (verdict == Verdict.NOT_RUN) {
            exchange.possibleRuns--;
        } else {
            context.ejections.recordFailure(replica.id());
        }
        if (verdict == Verdict.MAY_HAVE_RUN) {
            context.failureMonitor.checkConnection(replica);
        }
        context.listener.onFailed(exchange, replica, verdict, reason);
    }

    private void onResponse(HttpClientResponse response) {
        CallCodec.ResponseHead head =
                context.codec.decodeResponse(response.statusCode(), response.headers(), exchange.head.id());
        if (head.belongsToCall()) {
            applyAnnouncements(head);
        }
        if (ended || exchange.finished) {
            request.connection().close();
            end(true, false);
            return;
        }
        responding = true;
        boolean isSuccess = response.statusCode() / 100 == 2;
        if (!ResponseFraming.isFinalStatus(response.statusCode())) {
            failed(Verdict.MAY_HAVE_RUN, "the replica sent %d, which is no status".formatted(response.statusCode()));
        } else if (!head.belongsToCall()) {
            failed(Verdict.MAY_HAVE_RUN, "the response belongs to another call");
        } else if (head.notRun()) {
            onRejected(response.statusCode());
        } else if (isSuccess && !head.signed()) {
            failed(Verdict.MAY_HAVE_RUN, "the response has no signature");
        } else if (exchange.responseStarted && !continuesStream(response)) {
            failed(
                    Verdict.RAN,
                    "the replica responded with status %d and type %s instead of the rest of the stream"
                            .formatted(response.statusCode(), response.getHeader(HttpHeaders.CONTENT_TYPE)));
        } else if (response.statusCode() >= SERVER_ERROR && (mayRetry() || isOtherAttemptRunning())) {
            failed(Verdict.RAN, "the replica responded with status " + response.statusCode());
        } else if (isSuccess && exchange.route.kind() == RouteKind.STREAM) {
            new StreamRelay(response).start();
        } else {
            new BodyRelay(response).start();
        }
    }

    /** Applies what the replica tells of itself beside its response. */
    private void applyAnnouncements(CallCodec.ResponseHead head) {
        if (head.leaving()) {
            context.leavingReplicas.onResponse(replica.id(), process.startMillis());
        }
        head.pause().filter(pause -> process.isSameAs(replica.process())).ifPresent(pause -> {
            LogEvent.REPLICA_PAUSED.log(replica.id(), pause.toMillis());
            replica.availability().pauseFor(pause);
        });
    }

    /** Returns whether a response has the status of the stream of which the caller has got a part, and holds events. */
    private boolean continuesStream(HttpClientResponse response) {
        HttpServerResponse begun = exchange.request.response();
        String type = MediaTypes.of(response.headers());
        return response.statusCode() == begun.getStatusCode()
                && (type.equals(MediaTypes.EVENT_STREAM) || type.equals(MediaTypes.of(begun.headers())));
    }

    private boolean mayRetry() {
        return !exchange.responseStarted
                && exchange.route.isRetryable()
                && exchange.possibleRuns < exchange.route.maxAttempts();
    }

    /** Returns whether nothing of this attempt reaches the caller any more. */
    private boolean isSuperseded() {
        return ended || exchange.finished || !exchange.activeRequests.contains(request);
    }

    private boolean isOtherAttemptRunning() {
        return !exchange.responseStarted && exchange.activeRequests.size() > 1;
    }

    private void onRejected(int status) {
        if (status == MISDIRECTED_REQUEST) {
            exchange.weights.ifPresent(this::markMissing);
        }
        failed(Verdict.NOT_RUN, "the replica rejected the call with status " + status);
    }

    private void markMissing(WeightKey key) {
        long exclusionMillis =
                key.adapter().isEmpty() ? MISSING_MODEL_EXCLUSION_MILLIS : MISSING_ADAPTER_EXCLUSION_MILLIS;
        replica.markUnavailable(key.model(), key.adapter(), exclusionMillis);
    }

    private void succeeded(int status, String reason) {
        boolean isCurrent = exchange.activeRequests.contains(request);
        boolean succeeded = status / 100 == 2;
        if (!end(true, succeeded)) {
            return;
        }
        if (succeeded) {
            context.failureMonitor.onSuccess(exchange);
        }
        request.connection().close();
        if (status < SERVER_ERROR) {
            context.ejections.recordSuccess(replica.id());
        } else {
            context.ejections.recordFailure(replica.id());
        }
        if (isCurrent && !exchange.finished) {
            context.listener.onCompleted(exchange, status, reason);
        }
    }

    /** Returns whether the end of a response may be its connection's alone, as the replica failed. */
    private boolean isEndUncertain(HttpClientResponse response) {
        return connectionFailed
                || !requestSent.succeeded()
                        && ResponseFraming.isDelimitedByClose(response.statusCode(), response.headers());
    }

    /** Starts the response to the caller with the status and headers of the replica's response. */
    private HttpServerResponse startResponse(HttpClientResponse response) {
        exchange.endOthers(request);
        HttpServerResponse callerResponse = exchange.request.response();
        callerResponse.setStatusCode(response.statusCode());
        callerResponse.headers().setAll(context.codec.toCaller(response.headers()));
        context.localResponses.addConnectionHeader(callerResponse);
        return callerResponse;
    }

    /** Reads no more from the replica until the caller has read what was written. */
    private static void applyBackPressure(HttpClientResponse response, HttpServerResponse callerResponse) {
        if (callerResponse.writeQueueFull()) {
            response.pause();
            callerResponse.drainHandler(drained -> response.resume());
        }
    }

    /**
     * Buffers a response body and forwards it to the caller once it is complete, so that another replica can be tried
     * if it breaks off. A body that is longer than the buffer, or for which there is no memory, is forwarded as it arrives.
     */
    private final class BodyRelay {

        private final HttpClientResponse response;
        private Buffer buffered = Buffer.buffer();
        private HttpServerResponse callerResponse;

        BodyRelay(HttpClientResponse response) {
            this.response = response;
        }

        void start() {
            response.exceptionHandler(failure -> failed(Verdict.MAY_HAVE_RUN, "the response is incomplete"));
            response.handler(this::onBytes);
            response.endHandler(end -> onEnd());
        }

        private void onBytes(Buffer bytes) {
            if (isSuperseded()) {
                return;
            }
            if (callerResponse == null) {
                buffered.appendBuffer(bytes);
                if (buffered.length() > MAX_BUFFERED_BODY_BYTES || !memory.resize(buffered.length())) {
                    startForwarding();
                }
            } else {
                callerResponse.write(bytes);
                applyBackPressure(response, callerResponse);
            }
        }

        private void startForwarding() {
            context.listener.onFirstEvent(exchange, process);
            context.listener.onResponded(exchange, replica, context.clock.millis() - sentMillis);
            exchange.responseStarted = true;
            exchange.bodyStarted = true;
            callerResponse = startResponse(response);
            String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
            if (length == null) {
                callerResponse.setChunked(true);
            } else {
                callerResponse.putHeader(HttpHeaders.CONTENT_LENGTH, length);
            }
            Future<Void> written = callerResponse.write(buffered);
            memory.release();
            context.deliveries.retain(written, buffered.length());
            buffered = Buffer.buffer();
            applyBackPressure(response, callerResponse);
        }

        private void onEnd() {
            if (isSuperseded()) {
                return;
            }
            if (isEndUncertain(response)) {
                failed(Verdict.MAY_HAVE_RUN, "the connection ended before the response was known to be complete");
                return;
            }
            Future<Void> written;
            if (callerResponse == null) {
                context.listener.onResponded(exchange, replica, context.clock.millis() - sentMillis);
                written = startResponse(response).end(buffered);
            } else {
                written = callerResponse.end();
            }
            succeeded(response.statusCode(), "complete");
            context.deliveries.add(written, buffered.length());
        }
    }

    /** Forwards the server-sent events of a stream to the caller as they arrive. */
    private final class StreamRelay {

        private final HttpClientResponse response;

        StreamRelay(HttpClientResponse response) {
            this.response = response;
        }

        void start() {
            response.exceptionHandler(failure -> onBroken("the stream was interrupted: " + failure.getMessage()));
            response.handler(this::onBytes);
            response.endHandler(end -> onEnd());
        }

        private void onBytes(Buffer bytes) {
            if (isSuperseded()) {
                return;
            }
            // The framer keeps parts of events, which must come from one attempt only.
            exchange.endOthers(request);
            Buffer events = exchange.framer.feed(bytes);
            int partialBytes = exchange.framer.partialLength();
            if (partialBytes > MAX_EVENT_BYTES || !memory.resize(partialBytes)) {
                onBroken("an event is longer than %d bytes or than the free memory".formatted(MAX_EVENT_BYTES));
                return;
            }
            if (events.length() == 0) {
                return;
            }
            HttpServerResponse callerResponse = exchange.request.response();
            if (!exchange.responseStarted) {
                context.listener.onFirstEvent(exchange, process);
                context.listener.onResponded(exchange, replica, context.clock.millis() - sentMillis);
                exchange.responseStarted = true;
                startResponse(response).setChunked(true);
            }
            callerResponse.write(events);
            timing.onEvents(exchange.framer.eventCount(), callerResponse.writeQueueFull());
            applyBackPressure(response, callerResponse);
        }

        private void onEnd() {
            if (isSuperseded()) {
                return;
            }
            if (isEndUncertain(response) || exchange.framer.partialLength() > 0 || !exchange.responseStarted) {
                onBroken("the stream ended before the end of an event");
                return;
            }
            Future<Void> written = exchange.request.response().end();
            succeeded(response.statusCode(), exchange.framer.eventCount() + " events");
            context.deliveries.add(written, 0);
        }

        private void onBroken(String reason) {
            exchange.framer.discardPartial();
            failed(Verdict.MAY_HAVE_RUN, reason);
        }
    }

    /** Receives the results of attempts. */
    interface Listener {

        /** Handles an attempt that ended without a usable response. */
        void onFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason);

        /** Handles an attempt whose complete response was forwarded to the caller. */
        void onCompleted(Exchange exchange, int status, String reason);

        /** Handles the response to a call, or its first event, which came so long after the request was sent. */
        void onResponded(Exchange exchange, ReplicaState replica, long durationMillis);

        /** Handles the first event of a stream, just before it is forwarded to the caller. */
        void onFirstEvent(Exchange exchange, ReplicaProcess process);
    }

    /** The collaborators that all attempts share. */
    record Context(
            CallCodec codec,
            Ejections ejections,
            MonotonicClock clock,
            CallDurationEstimator durationEstimator,
            UnevenRouting routing,
            ReplicaFailureMonitor failureMonitor,
            LocalResponses localResponses,
            LeavingReplicas leavingReplicas,
            MemoryBudget memory,
            PendingDeliveries deliveries,
            Listener listener) {}
}
