package org.tarragonring.policy.fairness;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.fairness.TeamUseLedger.Use;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.team.Team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TeamShareCalculatorTest {

    private static final TeamName A = new TeamName("a");
    private static final TeamName B = new TeamName("b");
    private static final TeamName LOUD = new TeamName("loud");

    private final TeamShareCalculator calculator = new TeamShareCalculator(1_000);

    // Guards against a team that sends five times its usual and so gets five parts of what is served.
    @Test
    void onlyTheTeamThatSendsFiveTimesItsUsualIsAboveItsShare() {
        Map<TeamName, Use> uses = Map.of(A, new Use(100_000, 0), B, new Use(100_000, 20), LOUD, new Use(500_000, 280));

        Map<TeamName, Double> above = calculator.aboveShare(uses, name -> team(name, 0));

        assertEquals(Set.of(LOUD), above.keySet());
        assertEquals(2.5, above.get(LOUD), 1e-9);
    }

    // Guards against retries that give a team more than its share, as each of them counts as a new call.
    @Test
    void refusedCallsThatComeBackCountAsUse() {
        Map<TeamName, Use> uses = Map.of(A, new Use(100_000, 0), LOUD, new Use(300_000, 200));

        assertEquals(Map.of(LOUD, 3.0), calculator.aboveShare(uses, name -> team(name, 0)));
    }

    // Guards against equal parts for teams of unequal size, by which the large ones would always be above their share.
    @Test
    void teamsShareByTheirLimits() {
        Map<TeamName, Use> uses = Map.of(A, new Use(100_000, 50), B, new Use(300_000, 50));

        assertEquals(
                Map.of(A, 4.0 / 3, B, 4.0 / 3),
                calculator.aboveShare(uses, name -> limited(name, name.equals(A) ? 10_000 : 30_000)));
    }

    // Guards against an unimportant team that takes from an important one because it sends less.
    @Test
    void teamOfTheMoreUrgentPriorityIsServedFirst() {
        Map<TeamName, Use> uses = Map.of(A, new Use(300_000, 0), LOUD, new Use(100_000, 90), B, new Use(50_000, 30));

        Map<TeamName, Double> above = calculator.aboveShare(uses, name -> team(name, name.equals(A) ? 0 : 1));

        assertEquals(Set.of(LOUD, B), above.keySet());
    }

    @Test
    void leastUrgentTeamsStayComparableWhenNothingIsLeftForThem() {
        Map<TeamName, Use> uses = Map.of(A, new Use(300_000, 0), LOUD, new Use(500_000, 500), B, new Use(20_000, 20));

        Map<TeamName, Double> above = calculator.aboveShare(uses, name -> team(name, name.equals(A) ? 0 : 1));

        assertTrue(above.get(LOUD) > 10, above.toString());
        assertEquals(Set.of(LOUD), above.keySet());
    }

    @Test
    void teamsThatWereRemovedAreIgnored() {
        assertEquals(Map.of(), calculator.aboveShare(Map.of(A, new Use(100_000, 90)), name -> null));
    }

    private static Team team(TeamName name, int priority) {
        return new Team(name, priority, Optional.empty());
    }

    private static Team limited(TeamName name, double ratePerSecond) {
        return new Team(name, 0, Optional.of(new QuotaLimit(ratePerSecond, 0, true, 0)));
    }
}
