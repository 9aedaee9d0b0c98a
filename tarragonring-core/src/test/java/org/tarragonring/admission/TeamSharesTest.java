package org.tarragonring.admission;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.TeamName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TeamSharesTest {

    private static final TeamName FLOOD = new TeamName("flood");
    private static final TeamName QUIET = new TeamName("quiet");

    private final TeamShares shares = new TeamShares(10);

    @Test
    void capacityBelowOneIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new TeamShares(0));
    }

    @Test
    void unusedShareIsLent() {
        for (int i = 0; i < 10; i++) {
            assertTrue(shares.tryAcquire(FLOOD, 50, 100));
        }
        assertFalse(shares.tryAcquire(FLOOD, 50, 100));
    }

    @Test
    void floodOfOneTeamLeavesOthersTheirShare() {
        for (int i = 0; i < 10; i++) {
            shares.tryAcquire(FLOOD, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(shares.tryAcquire(QUIET, 50, 100));
        }
        assertFalse(shares.tryAcquire(QUIET, 50, 100));
    }

    @Test
    void lentShareIsTakenBackAsCallsEnd() {
        for (int i = 0; i < 10; i++) {
            shares.tryAcquire(FLOOD, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            shares.tryAcquire(QUIET, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            shares.release(FLOOD);
        }
        assertFalse(shares.tryAcquire(FLOOD, 50, 100));
        assertEquals(10, shares.total());
    }
}
