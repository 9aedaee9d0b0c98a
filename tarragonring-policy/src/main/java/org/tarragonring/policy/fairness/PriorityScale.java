package org.tarragonring.policy.fairness;

import java.util.Arrays;
import java.util.Collection;
import java.util.OptionalInt;

/**
 * Maps the priorities of teams and routes to the few urgencies that replicas know.
 *
 * <p>The order by the priority of the team, then by that of the route, is kept as far as the values suffice; priorities that
 * are next to each other share a value otherwise. A call is demoted to an urgency below all other calls of teams with the same
 * priority, and never below those of teams with a less urgent one.
 *
 * <p>The mapping depends on the configured priorities alone, so that equal calls have the same urgency at all entries.
 * Instances are immutable.
 *
 * @since 0.2.0
 */
public final class PriorityScale {

    /** The lowest urgency; 0 is the highest. Replicas know ten values. */
    public static final int LOWEST_URGENCY = 9;

    private static final int URGENCIES = LOWEST_URGENCY + 1;

    private final int[] teamPriorities;
    private final int[] routePriorities;
    private final int bandCount;
    /** The number of urgencies of demoted calls in each band; 0 if they share the first urgency of the next band. */
    private final int demotedLevels;

    /**
     * Creates a scale.
     *
     * @param teamPriorities the priorities of all teams, 0 is the most urgent; not null, may be empty
     * @param routePriorities the priorities of all routes, 0 is the most urgent; not null, may be empty
     */
    public PriorityScale(Collection<Integer> teamPriorities, Collection<Integer> routePriorities) {
        this.teamPriorities = distinct(teamPriorities);
        this.routePriorities = distinct(routePriorities);
        int teams = this.teamPriorities.length;
        int routes = this.routePriorities.length;
        boolean hasRoomForDemoted = teams * (routes + 1) <= URGENCIES;
        this.bandCount = Math.min(teams, URGENCIES - 1);
        this.demotedLevels = hasRoomForDemoted ? Math.min(routes, (URGENCIES - teams * routes) / teams) : 0;
    }

    private static int[] distinct(Collection<Integer> priorities) {
        int[] sorted = priorities.stream()
                .mapToInt(Integer::intValue)
                .distinct()
                .sorted()
                .toArray();
        return sorted.length == 0 ? new int[1] : sorted;
    }

    /**
     * Returns the urgency of a call.
     *
     * @param teamPriority the priority of its team; empty for a call without a team, which is as urgent as those of the least
     *     urgent team; not null
     * @param routePriority the priority of its route
     * @param isDemoted whether the call belongs to the excess of its team over its share
     * @return the urgency, from 0, the highest, to {@value #LOWEST_URGENCY}
     */
    public int urgency(OptionalInt teamPriority, int routePriority, boolean isDemoted) {
        int teamRank =
                teamPriority.isPresent() ? rank(teamPriorities, teamPriority.getAsInt()) : teamPriorities.length - 1;
        int band = teamRank * bandCount / teamPriorities.length;
        int routeRank = rank(routePriorities, routePriority);
        int levels = normalLevels(band);
        int start = start(band);
        if (!isDemoted) {
            return start + routeRank * levels / routePriorities.length;
        }
        return start + levels + routeRank * demotedLevels / routePriorities.length;
    }

    private int start(int band) {
        int start = 0;
        for (int before = 0; before < band; before++) {
            start += normalLevels(before) + demotedLevels;
        }
        return start;
    }

    private int normalLevels(int band) {
        if (demotedLevels > 0) {
            return routePriorities.length;
        }
        int shared = URGENCIES - 1;
        int levels = shared / bandCount + (band < shared % bandCount ? 1 : 0);
        return Math.min(routePriorities.length, levels);
    }

    /** Returns the position of the greatest known priority that is not above the given one, 0 if there is none. */
    private static int rank(int[] priorities, int priority) {
        int position = Arrays.binarySearch(priorities, priority);
        return position >= 0 ? position : Math.max(0, -position - 2);
    }
}
