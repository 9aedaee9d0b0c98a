package org.tarragonring.caller;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.errors.CallException;
import org.tarragonring.log.LogEvent;

/** Ends an accepted call exactly once, with its answer or a refusal, and gives back what it held. */
final class CallEnd {

    private final CallServices services;
    private final CallDetails details;
    private final HttpServerResponse response;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final AtomicBoolean started = new AtomicBoolean();

    CallEnd(CallServices services, CallDetails details, HttpServerResponse response) {
        this.services = services;
        this.details = details;
        this.response = response;
        services.metrics().accepted(details.callClass().name());
        services.retries().recordAcceptedCall();
    }

    boolean isOpen() {
        return open.get();
    }

    /** Notes that the first part of the answer goes out. */
    void firstAnswer() {
        if (started.compareAndSet(false, true)) {
            long tookMillis = services.clock().millis() - details.arrivedMillis();
            services.metrics().firstAnswer(details.callClass().name(), Duration.ofMillis(tookMillis));
        }
    }

    boolean isStarted() {
        return started.get();
    }

    /** Ends the call with its whole answer, which the caller of this method has written. */
    boolean answered() {
        if (!close()) {
            return false;
        }
        services.metrics().answered(details.callClass().name());
        return true;
    }

    /** Ends the call with a refusal; within a stream as its last event. */
    void refuse(CallException failure) {
        if (!close()) {
            return;
        }
        services.metrics().refused(failure.reason());
        LogEvent.CALL_REFUSED.logForCall(
                details.id().value(), failure.reason().code(), failure.verdict().text(), failure.getMessage());
        if (response.headWritten()) {
            if (!response.closed() && !response.ended()) {
                response.end("event: error\ndata: " + Refusals.body(failure).encode() + "\n\n");
            }
        } else {
            Refusals.send(response, failure);
        }
    }

    /** Ends a call whose caller left. */
    void abandoned() {
        close();
    }

    private boolean close() {
        if (!open.compareAndSet(true, false)) {
            return false;
        }
        services.shares().release(details.team().name());
        return true;
    }
}
