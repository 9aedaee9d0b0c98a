package org.tarragonring.gateway.forward;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MemoryBudgetTest {

    private static final long LIMIT_BYTES = 6_400;

    private final MemoryBudget budget = new MemoryBudget(LIMIT_BYTES);

    @Test
    void bodyThatDoesNotFitIsNotReserved() {
        MemoryBudget.Reservation first = budget.reserve();
        assertTrue(first.resize(5_000));
        MemoryBudget.Reservation second = budget.reserve();

        assertFalse(second.resize(2_000));

        assertEquals(5_000, budget.usedBytes());
        first.release();
        first.release();
        assertEquals(0, budget.usedBytes());
        assertTrue(second.resize(2_000));
    }

    // Guards against a few large bodies that leave nothing to the many calls with small ones.
    @Test
    void largeBodiesLeaveRoomForSmallOnes() {
        assertTrue(budget.reserve().resize(5_600));
        assertFalse(budget.reserve().resize(200));

        for (int i = 0; i < 8; i++) {
            assertTrue(budget.reserve().resize(100));
        }
        assertFalse(budget.reserve().resize(1));
    }

    @Test
    void reservationMayShrinkAlways() {
        MemoryBudget.Reservation reservation = budget.reserve();
        assertTrue(reservation.resize(5_600));

        assertTrue(reservation.resize(5_500));
        assertEquals(5_500, budget.usedBytes());
    }

    @Test
    void negativeLimitIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new MemoryBudget(-1));
    }
}
