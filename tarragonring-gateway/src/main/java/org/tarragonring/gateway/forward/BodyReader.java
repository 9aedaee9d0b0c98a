package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import org.tarragonring.time.Timers;

/**
 * Reads the bodies of requests, within a size, a time and the memory of all calls. What arrives of a body that was refused
 * is discarded, so that its caller can send it to the end and read the refusal.
 *
 * <p>Not thread-safe.
 */
final class BodyReader {

    private static final long UNKNOWN_LENGTH = -1;

    private final MemoryBudget memory;
    private final CallerConnections callerConnections;
    private final Timers timers;

    BodyReader(MemoryBudget memory, CallerConnections callerConnections, Timers timers) {
        this.memory = Objects.requireNonNull(memory, "memory");
        this.callerConnections = Objects.requireNonNull(callerConnections, "callerConnections");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Reads the body of a request, none of which has been read yet.
     *
     * @param request the request, not null
     * @param maxBytes the maximum size of the body
     * @param timeout the time within which it must arrive, not null
     * @param listener receives the result, not null
     */
    void read(HttpServerRequest request, int maxBytes, Duration timeout, Listener listener) {
        new Reading(request, maxBytes, timeout, listener).start();
    }

    private static long declaredLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? UNKNOWN_LENGTH : Long.parseLong(length.trim());
        } catch (NumberFormatException e) {
            return UNKNOWN_LENGTH;
        }
    }

    /** Receives the result of reading a body. Exactly one method is invoked. */
    interface Listener {

        /** Handles a complete body, whose reservation must be released when it is no longer needed. */
        void onComplete(Buffer body, MemoryBudget.Reservation reservation);

        /** Handles a body that is too long. */
        void onTooLong();

        /** Handles a body for which there is no memory now. */
        void onNoMemory();

        /** Handles a body that has not arrived in time. */
        void onTimeout();

        /** Handles a caller that has disconnected before its body was complete. */
        void onDisconnected();
    }

    private final class Reading {

        private final HttpServerRequest request;
        private final int maxBytes;
        private final Duration timeout;
        private final Listener listener;
        private final MemoryBudget.Reservation reservation = memory.reserve();
        private Buffer body = Buffer.buffer();
        private Timers.Task timeoutTask = () -> {};
        private boolean open = true;

        Reading(HttpServerRequest request, int maxBytes, Duration timeout, Listener listener) {
            this.request = request;
            this.maxBytes = maxBytes;
            this.timeout = timeout;
            this.listener = listener;
        }

        void start() {
            request.handler(this::onBytes);
            request.endHandler(end -> onEnd());
            timeoutTask = timers.schedule(timeout, this::onTimeout);
            callerConnections.onCallStarted(request.connection(), this, this::onDisconnected);
            long declared = declaredLength(request);
            if (declared > maxBytes) {
                reject(listener::onTooLong);
            } else if (declared > 0 && reservation.resize(declared)) {
                body = Buffer.buffer((int) declared);
            } else if (declared > 0) {
                reject(listener::onNoMemory);
            }
        }

        private void onBytes(Buffer bytes) {
            callerConnections.onReceived(request.connection());
            if (!open) {
                return;
            }
            long length = (long) body.length() + bytes.length();
            if (length > maxBytes) {
                reject(listener::onTooLong);
            } else if (!reservation.resize(Math.max(length, reservation.bytes()))) {
                reject(listener::onNoMemory);
            } else {
                body.appendBuffer(bytes);
            }
        }

        private void onEnd() {
            timeoutTask.cancel();
            if (open) {
                close();
                listener.onComplete(body, reservation);
            }
        }

        private void onTimeout() {
            if (open) {
                reject(listener::onTimeout);
            }
            request.connection().close();
        }

        private void onDisconnected() {
            timeoutTask.cancel();
            open = false;
            reservation.release();
            listener.onDisconnected();
        }

        private void reject(Runnable reason) {
            close();
            reservation.release();
            body = Buffer.buffer();
            reason.run();
        }

        private void close() {
            open = false;
            callerConnections.onCallEnded(request.connection(), this);
        }
    }
}
