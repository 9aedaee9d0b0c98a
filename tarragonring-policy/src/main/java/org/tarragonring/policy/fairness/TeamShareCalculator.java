package org.tarragonring.policy.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.team.Team;

/**
 * Computes which teams use more than their fair share of a capacity that does not suffice.
 *
 * <p>Teams of a more urgent priority get what they ask for first. Teams of one priority divide what is left by weighted max-min
 * fairness; the weight of a team is its limit, as far as it has one.
 *
 * @since 0.2.0
 */
public final class TeamShareCalculator {

    /** An excess below this is within the accuracy of the measured use. */
    static final double MIN_FACTOR = 1.05;

    /**
     * The part of their demand that teams of one priority divide at least. Without it, teams for which more urgent ones leave
     * nothing would all be above their share, and the one that sends most would get most of what is served after all.
     */
    static final double MIN_CAPACITY_FRACTION = 0.1;

    private final double meanCallTokens;

    /**
     * Creates a calculator.
     *
     * @param meanCallTokens the mean number of tokens of a call, above 0
     */
    public TeamShareCalculator(double meanCallTokens) {
        if (!(meanCallTokens > 0)) {
            throw new IllegalArgumentException("meanCallTokens must be above 0, but is " + meanCallTokens);
        }
        this.meanCallTokens = meanCallTokens;
    }

    /**
     * Computes the excess of the teams above their share. What could be served is what was asked for without the refused calls.
     *
     * @param uses the recent use of each team, not null
     * @param teams returns the team of a name, or null if there is none any more; not null
     * @return the teams above their share, each with its use divided by its share; never null
     */
    public Map<TeamName, Double> aboveShare(Map<TeamName, TeamUseLedger.Use> uses, Function<TeamName, Team> teams) {
        Map<Integer, List<Team>> byPriority = new TreeMap<>();
        double demand = 0;
        double refused = 0;
        for (Map.Entry<TeamName, TeamUseLedger.Use> use : uses.entrySet()) {
            Team team = teams.apply(use.getKey());
            if (team != null) {
                byPriority
                        .computeIfAbsent(team.priority(), p -> new ArrayList<>())
                        .add(team);
                demand += use.getValue().tokens();
                refused += use.getValue().refusedCalls() * meanCallTokens;
            }
        }
        double capacity = Math.max(0, demand - refused);
        Map<TeamName, Double> above = new HashMap<>();
        for (List<Team> group : byPriority.values()) {
            double groupDemand =
                    group.stream().mapToDouble(t -> uses.get(t.name()).tokens()).sum();
            addAboveShare(group, uses, Math.max(capacity, MIN_CAPACITY_FRACTION * groupDemand), above);
            capacity = Math.max(0, capacity - groupDemand);
        }
        return above;
    }

    private void addAboveShare(
            List<Team> group, Map<TeamName, TeamUseLedger.Use> uses, double capacity, Map<TeamName, Double> above) {
        double defaultWeight = group.stream()
                .filter(team -> team.quota().isPresent())
                .mapToDouble(team -> tokensPerSecond(team.quota().get()))
                .average()
                .orElse(1);
        List<FairShare.Claim<TeamName>> claims = group.stream()
                .map(team -> new FairShare.Claim<>(
                        team.name(),
                        uses.get(team.name()).tokens(),
                        team.quota().map(this::tokensPerSecond).orElse(defaultWeight)))
                .toList();
        FairShare.divide(capacity, claims).forEach((team, share) -> {
            double factor = uses.get(team).tokens() / share;
            if (share > 0 && factor >= MIN_FACTOR) {
                above.put(team, factor);
            }
        });
    }

    private double tokensPerSecond(QuotaLimit limit) {
        return limit.countsTokens() ? limit.ratePerSecond() : limit.ratePerSecond() * meanCallTokens;
    }
}
