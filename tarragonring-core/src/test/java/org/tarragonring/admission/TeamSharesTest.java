package org.tarragonring.admission;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.TeamName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A busy team must not take the share of capacity that belongs to other teams. */
class TeamSharesTest {

    private static final TeamName BUSY_TEAM = new TeamName("flood");
    private static final TeamName OTHER_TEAM = new TeamName("quiet");

    private final TeamShares shares = new TeamShares(10);

    @Test
    void capacityBelowOneIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new TeamShares(0));
    }

    @Test
    void teamMayUseCapacityThatOthersLeave() {
        for (int i = 0; i < 10; i++) {
            assertTrue(shares.tryAcquire(BUSY_TEAM, 50, 100));
        }
        assertFalse(shares.tryAcquire(BUSY_TEAM, 50, 100));
    }

    @Test
    void teamAtCapacityLeavesOtherTeamsTheirShare() {
        for (int i = 0; i < 10; i++) {
            shares.tryAcquire(BUSY_TEAM, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(shares.tryAcquire(OTHER_TEAM, 50, 100));
        }
        assertFalse(shares.tryAcquire(OTHER_TEAM, 50, 100));
    }

    @Test
    void teamAboveItsShareGetsNoCapacityWhileEntryIsFull() {
        for (int i = 0; i < 10; i++) {
            shares.tryAcquire(BUSY_TEAM, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            shares.tryAcquire(OTHER_TEAM, 50, 100);
        }
        for (int i = 0; i < 5; i++) {
            shares.release(BUSY_TEAM);
        }
        assertFalse(shares.tryAcquire(BUSY_TEAM, 50, 100));
        assertEquals(10, shares.totalInFlight());
    }
}
