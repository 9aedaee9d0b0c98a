package org.tarragonring.gateway.quota;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.TeamName;

/** Counts tokens by team. Only the first teams have a label of their own, so that the number of metrics is bounded. */
final class QuotaMetrics {

    private static final int MAX_LABELLED_TEAMS = 50;
    private static final String OTHER = "other";

    private final GatewayMetrics metrics;
    private final Set<TeamName> labelled = new HashSet<>();

    QuotaMetrics(GatewayMetrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Counts tokens that were granted to, refused to or returned by calls of a team at this entry. */
    void count(TeamName team, String outcome, long tokens) {
        if (labelled.size() < MAX_LABELLED_TEAMS) {
            labelled.add(team);
        }
        metrics.countQuotaTokens(labelled.contains(team) ? team.value() : OTHER, outcome, tokens);
    }
}
