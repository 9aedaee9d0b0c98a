package org.tarragonring.policy.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.time.MonotonicClock;

/**
 * What each team has used over all entries in the last seconds, computed from the totals that entries report.
 *
 * <p>The first total of an entry tells nothing about the last seconds, as it covers the whole life of the entry; use counts from
 * the second one on. A total that is below the previous one belongs to a new process of the entry.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class TeamUseLedger {

    /** Long enough that a team with a few large calls a second has about its mean use, and short enough to follow a surge. */
    public static final long WINDOW_MILLIS = 4_000;

    private final MonotonicClock clock;
    private final Map<EntryId, Map<TeamName, Totals>> totalsByEntry = new HashMap<>();
    private final Map<TeamName, Recent> recentByTeam = new HashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param clock the monotonic clock, not null
     */
    public TeamUseLedger(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Adds what an entry reports of one team.
     *
     * @param entry the entry, not null
     * @param team the team, not null
     * @param tokens the tokens of all calls since the start of the entry's process
     * @param refusedCalls the number of calls for which there was no capacity since then
     */
    public void add(EntryId entry, TeamName team, long tokens, long refusedCalls) {
        Totals totals = new Totals(tokens, refusedCalls);
        Totals previous =
                totalsByEntry.computeIfAbsent(entry, id -> new HashMap<>()).put(team, totals);
        if (previous == null) {
            return;
        }
        boolean isNewProcess = tokens < previous.tokens || refusedCalls < previous.refusedCalls;
        Totals base = isNewProcess ? Totals.ZERO : previous;
        Recent recent = recentByTeam.computeIfAbsent(team, name -> new Recent(clock));
        recent.tokens.add(tokens - base.tokens);
        recent.refusedCalls.add(refusedCalls - base.refusedCalls);
    }

    /**
     * Forgets the entries that are gone and the teams that use nothing any more.
     *
     * @param isAlive returns whether an entry still exists, not null
     */
    public void prune(Predicate<EntryId> isAlive) {
        totalsByEntry.keySet().removeIf(isAlive.negate());
        recentByTeam.values().removeIf(recent -> recent.tokens.sum() == 0 && recent.refusedCalls.sum() == 0);
    }

    /**
     * Returns the recent use of all teams.
     *
     * @return the use of each team that used anything, never null
     */
    public Map<TeamName, Use> recent() {
        Map<TeamName, Use> uses = new HashMap<>();
        recentByTeam.forEach((team, recent) -> uses.put(team, new Use(recent.tokens.sum(), recent.refusedCalls.sum())));
        return uses;
    }

    /**
     * What a team used within the window.
     *
     * @param tokens the tokens of its calls, also of those that were refused later
     * @param refusedCalls the number of calls for which there was no capacity
     */
    public record Use(double tokens, double refusedCalls) {}

    private record Totals(long tokens, long refusedCalls) {

        private static final Totals ZERO = new Totals(0, 0);
    }

    private static final class Recent {

        private final SlidingSum tokens;
        private final SlidingSum refusedCalls;

        private Recent(MonotonicClock clock) {
            tokens = new SlidingSum(clock, WINDOW_MILLIS);
            refusedCalls = new SlidingSum(clock, WINDOW_MILLIS);
        }
    }
}
