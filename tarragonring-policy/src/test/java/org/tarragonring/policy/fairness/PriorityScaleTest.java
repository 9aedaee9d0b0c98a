package org.tarragonring.policy.fairness;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PriorityScaleTest {

    // Guards against teams that lose the order of their routes only because the configuration has teams.
    @Test
    void routesKeepTheirOrderWhereAllTeamsAreEqual() {
        PriorityScale scale = new PriorityScale(List.of(3, 3, 3), List.of(0, 1, 2, 4, 9));

        assertEquals(List.of(0, 1, 2, 3, 4), urgencies(scale, 3, false));
        assertEquals(List.of(5, 6, 7, 8, 9), urgencies(scale, 3, true));
    }

    // Guards against an urgent route of an unimportant team that goes before a slow route of an important one.
    @Test
    void priorityOfTheTeamGoesBeforeThatOfTheRoute() {
        PriorityScale scale = new PriorityScale(List.of(0, 2, 1), List.of(0, 1, 2));

        assertEquals(List.of(0, 1, 2), List.of(at(scale, 0, 0), at(scale, 0, 1), at(scale, 0, 2)));
        assertEquals(List.of(3, 4, 5), List.of(at(scale, 1, 0), at(scale, 1, 1), at(scale, 1, 2)));
        assertEquals(List.of(6, 7, 8), List.of(at(scale, 2, 0), at(scale, 2, 1), at(scale, 2, 2)));
    }

    @Test
    void anonymousCallsAreAsUrgentAsThoseOfTheLeastUrgentTeam() {
        PriorityScale scale = new PriorityScale(List.of(0, 5), List.of(0, 1));

        assertEquals(at(scale, 5, 1), scale.urgency(OptionalInt.empty(), 1, false));
    }

    @Test
    void prioritiesThatAreNotConfiguredArePlacedAmongTheOthers() {
        PriorityScale scale = new PriorityScale(List.of(0), List.of(0, 10));

        assertEquals(at(scale, 0, 0), at(scale, 0, 7));
        assertEquals(at(scale, 0, 10), at(scale, 0, Integer.MAX_VALUE));
        assertEquals(at(scale, 0, 0), at(scale, 0, Integer.MIN_VALUE));
    }

    // Guards against a team that sends five times its usual and is put behind teams that matter less.
    @Property(tries = 500, seed = "11")
    void demotedCallsAreBelowTheirOwnPriorityOnly(
            @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = 40) Integer> teams,
            @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = 40) Integer> routes) {
        PriorityScale scale = new PriorityScale(teams, routes);
        for (int team : teams) {
            for (int route : routes) {
                int demoted = scale.urgency(OptionalInt.of(team), route, true);
                assertTrue(demoted >= 0 && demoted <= PriorityScale.LOWEST_URGENCY);
                routes.forEach(other -> assertTrue(demoted > at(scale, team, other)));
                if (teams.size() <= PriorityScale.LOWEST_URGENCY) {
                    teams.stream()
                            .filter(other -> other > team)
                            .forEach(other -> routes.forEach(r -> assertTrue(demoted <= at(scale, other, r))));
                }
            }
        }
    }

    @Property(tries = 500, seed = "11")
    void orderIsNeverReversedAndKeptWhereTenValuesSuffice(
            @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = 40) Integer> teams,
            @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = 40) Integer> routes) {
        PriorityScale scale = new PriorityScale(teams, routes);
        boolean suffices = teams.size() * routes.size() < 10;
        int last = -1;
        for (int team : new TreeSet<>(teams)) {
            for (int route : new TreeSet<>(routes)) {
                int urgency = at(scale, team, route);
                assertTrue(suffices ? urgency > last : urgency >= last);
                last = urgency;
            }
        }
    }

    private static List<Integer> urgencies(PriorityScale scale, int team, boolean isDemoted) {
        return List.of(0, 1, 2, 4, 9).stream()
                .map(route -> scale.urgency(OptionalInt.of(team), route, isDemoted))
                .toList();
    }

    private static int at(PriorityScale scale, int team, int route) {
        return scale.urgency(OptionalInt.of(team), route, false);
    }
}
