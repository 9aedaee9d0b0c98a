package org.tarragonring.policy.fairness;

import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.TeamName;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TeamExcessTest {

    private static final TeamName LOUD = new TeamName("loud");
    private static final TeamName QUIET = new TeamName("quiet");

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final TeamExcess excess = new TeamExcess(clock);

    // Guards against a demotion of all calls, which would take the team its own share.
    @Test
    void teamThatSendsFiveTimesItsShareKeepsOneCallInFive() {
        excess.update(true, Map.of(LOUD, 5.0));

        assertEquals(200, normalCalls(LOUD));
        assertEquals(1_000, normalCalls(QUIET));
    }

    // Guards against teams that stay demoted after the share coordinator was lost.
    @Test
    void sharesAreDroppedWithoutTheCoordinator() {
        excess.update(true, Map.of(LOUD, 5.0));
        nowMillis += TeamExcess.MAX_AGE_MILLIS;
        assertFalse(excess.expire());
        assertTrue(excess.isShortage());

        nowMillis++;

        assertEquals(1_000, normalCalls(LOUD));
        assertTrue(excess.expire());
        assertFalse(excess.expire());
    }

    @Test
    void nothingIsDemotedWithoutShortage() {
        excess.update(true, Map.of(LOUD, 5.0));
        excess.update(false, Map.of(LOUD, 5.0));

        assertEquals(1_000, normalCalls(LOUD));
        assertFalse(excess.isShortage());
    }

    // Guards against kinds of calls that are never served while more urgent ones take all capacity.
    @Test
    void oneCallInEightOfEachTeamIsReservedDuringAShortage() {
        assertEquals(0, reservedCalls(Optional.of(QUIET)));

        excess.update(true, Map.of(LOUD, 5.0));

        assertEquals(125, reservedCalls(Optional.of(QUIET)));
        assertEquals(125, reservedCalls(Optional.empty()));
        assertEquals(25, reservedCalls(Optional.of(LOUD)));
    }

    private int reservedCalls(Optional<TeamName> team) {
        return (int) IntStream.range(0, 1_000)
                .filter(i -> excess.isReserved(team, i / 1_000.0))
                .count();
    }

    private int normalCalls(TeamName team) {
        return (int) IntStream.range(0, 1_000)
                .filter(i -> !excess.isDemoted(team, i / 1_000.0))
                .count();
    }
}
