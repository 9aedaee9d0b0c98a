package org.tarragonring.policy.routing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.tarragonring.policy.routing.ExpectedCompletion.Target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ExpectedCompletionTest {

    private static final CallProfile CALL =
            new CallProfile("draft", true, 9_200, 100, List.of("system", "document", "session"), "document", 1_015);
    private static final CallProfile PLAIN = new CallProfile("book", false, 0, 0, List.of(), "", 148);

    private final ExpectedCompletion expected = new ExpectedCompletion(new ResponseTimes());

    @Test
    void cachedPartsSaveTheTimeToReadThem() {
        double cold = expected.firstEventMillis(CALL, new Target(0, 48, 1, 0));
        double cached = expected.firstEventMillis(CALL, new Target(0, 48, 1, 2));
        assertEquals(9_200 * 0.6 / 38.7, cold - cached, 1);
    }

    @Test
    void slowReplicaCostsMoreThanItsTimeWhereTheFirstEventMayBeLate() {
        double fast = expected.engineCost(CALL, new Target(2, 48, 1, 0));
        double slow = expected.engineCost(CALL, new Target(2, 48, 0.46, 0));
        assertTrue(slow > fast / 0.46 + 100, slow + " ms and " + fast + " ms");
    }

    @Test
    void callsBeyondTheSlotsWait() {
        double running = expected.plainCost(PLAIN, new Target(5, 6, 1, 0));
        double queued = expected.plainCost(PLAIN, new Target(11, 6, 1, 0));
        assertEquals(50, queued - running - 50 * 0.3, 1);
        assertTrue(expected.engineCost(CALL, new Target(60, 48, 1, 0))
                > expected.engineCost(CALL, new Target(47, 48, 1, 0)) * 1.25);
    }

    @Test
    void targetWithoutSpeedIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Target(0, 1, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new Target(0, 0, 1, 0));
    }
}
