package org.tarragonring.gateway.forward;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** What is kept for callers that read slowly must be bounded, and a shutdown must wait for it. */
class PendingDeliveriesTest {

    private static final long LIMIT_BYTES = 1_000_000;

    private final MemoryBudget memory = new MemoryBudget(LIMIT_BYTES);
    private final PendingDeliveries deliveries = new PendingDeliveries(memory);

    @Test
    void responseCountsUntilItIsWrittenOrItsCallerHasLeft() {
        Promise<Void> read = Promise.promise();
        Promise<Void> left = Promise.promise();
        deliveries.add(read.future(), 1_000);
        deliveries.add(left.future(), 500);
        assertEquals(2, deliveries.count());
        assertEquals(1_500, memory.usedBytes());

        read.complete();
        assertEquals(500, memory.usedBytes());
        left.fail("closed");

        assertEquals(0, deliveries.count());
        assertEquals(0, memory.usedBytes());
    }

    @Test
    void partOfAResponseTakesUpMemoryUntilItIsWritten() {
        Promise<Void> part = Promise.promise();
        deliveries.retain(part.future(), 1_000);
        assertEquals(1_000, memory.usedBytes());
        assertEquals(0, deliveries.count());

        part.complete();
        assertEquals(0, memory.usedBytes());
    }

    // Guards against calls that get the memory of a response which is kept though it is over the limit.
    @Test
    void responseBeyondTheLimitCounts() {
        deliveries.add(Promise.<Void>promise().future(), 2 * LIMIT_BYTES);

        assertEquals(2 * LIMIT_BYTES, memory.usedBytes());
        assertFalse(memory.reserve().resize(1));
    }

    @Test
    void responseThatIsWrittenAtOnceDoesNotCount() {
        deliveries.add(Future.succeededFuture(), 1_000);

        assertEquals(0, deliveries.count());
        assertEquals(0, memory.usedBytes());
    }
}
