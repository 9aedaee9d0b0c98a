package org.tarragonring.admission;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallQueueTest {

    private final CallQueue<String> queue = new CallQueue<>(100);

    @Test
    void emptyQueueReturnsNull() {
        assertNull(queue.peek());
        assertNull(queue.poll());
    }

    @Test
    void fullQueueRejectsCalls() {
        CallQueue<String> small = new CallQueue<>(1);
        assertTrue(small.offer(call(0, 0, 10, "a")));
        assertFalse(small.offer(call(0, 0, 10, "b")));
    }

    @Test
    void priorityOutOfRangeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> call(10, 0, 0, "a"));
    }

    @Test
    void higherPriorityIsPolledFirst() {
        queue.offer(call(5, 0, 10, "low"));
        queue.offer(call(1, 1, 10, "high"));
        assertEquals("high", queue.poll().call());
    }

    @Test
    void everyFourthPollReturnsLongestWaitingCall() {
        queue.offer(call(9, 0, 99, "old"));
        for (int i = 0; i < 8; i++) {
            queue.offer(call(0, 1 + i, 99, "new " + i));
        }
        List<String> polled = List.of(
                queue.poll().call(),
                queue.poll().call(),
                queue.poll().call(),
                queue.poll().call());
        assertEquals(List.of("new 0", "new 1", "new 2", "old"), polled);
    }

    @Test
    void expiredCallsAreRemoved() {
        queue.offer(call(0, 0, 10, "a"));
        queue.offer(call(0, 0, 20, "b"));
        assertEquals("a", queue.removeExpired(10).get(0).call());
        assertEquals(1, queue.size());
    }

    @Property(tries = 200, seed = "5")
    void peekReturnsSameCallAsPoll(@ForAll List<@IntRange(max = 9) Integer> priorities) {
        CallQueue<Integer> calls = new CallQueue<>(1000);
        for (int i = 0; i < priorities.size(); i++) {
            calls.offer(new WaitingCall<>(priorities.get(i), i, 1000, i));
        }
        for (int i = 0; i < priorities.size(); i++) {
            assertEquals(calls.peek(), calls.poll());
        }
        assertEquals(0, calls.size());
    }

    private static WaitingCall<String> call(int priority, long arrivedMillis, long deadlineMillis, String name) {
        return new WaitingCall<>(priority, arrivedMillis, deadlineMillis, name);
    }
}
