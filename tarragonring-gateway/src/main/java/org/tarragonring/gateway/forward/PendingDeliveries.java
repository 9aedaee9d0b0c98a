package org.tarragonring.gateway.forward;

import java.util.Objects;

import io.vertx.core.Future;

/**
 * The responses that have ended but that their callers have not read so far that the rest fits into the buffers of the
 * connection. What is kept of them counts against the memory of all calls, and a shutdown waits for them.
 *
 * <p>Not thread-safe.
 */
final class PendingDeliveries {

    private final MemoryBudget memory;
    private int count;

    /**
     * Creates an instance without responses.
     *
     * @param memory the memory of all calls, not null
     */
    PendingDeliveries(MemoryBudget memory) {
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /** Returns the number of responses that are not delivered yet. */
    int count() {
        return count;
    }

    /**
     * Adds a response whose end is queued for the caller's connection.
     *
     * @param written completes when all bytes are written, or fails when the connection is closed; not null
     * @param bytes the bytes of the response that are kept until then and that count against no other reservation
     */
    void add(Future<Void> written, long bytes) {
        if (written.isComplete()) {
            return;
        }
        count++;
        written.onComplete(result -> count--);
        retain(written, bytes);
    }

    /**
     * Counts a part of a response that has not ended against the memory of all calls.
     *
     * @param written completes when the part is written, or fails when the connection is closed; not null
     * @param bytes the bytes of the part, which count against no other reservation
     */
    void retain(Future<Void> written, long bytes) {
        MemoryBudget.Reservation reservation = memory.reserve();
        reservation.retain(bytes);
        written.onComplete(result -> reservation.release());
    }
}
