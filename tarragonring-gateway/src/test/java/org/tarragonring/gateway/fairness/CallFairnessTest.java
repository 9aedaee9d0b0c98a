package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.config.WeightedService;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.team.ApiKey;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CallFairnessTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final Route QUERIES = route("queries", 0, Duration.ofMillis(500));
    private static final Route BRIEFS = route("briefs", 2, Duration.ofSeconds(6));
    private static final Team FIRST = team("first", 0);
    private static final Team SECOND = team("second", 1);

    private final ManualTime time = new ManualTime();
    private final TeamExcess excess = new TeamExcess(time);
    private final CallFairness fairness = new CallFairness(() -> Optional.of(config()), excess, () -> 0.5);

    // Guards against deployments without teams whose replicas suddenly get priorities.
    @Test
    void withoutTeamsNoUrgencyIsSent() {
        fairness.admit(Optional.empty());

        assertEquals(OptionalInt.empty(), fairness.urgency(Optional.empty()));
    }

    @Test
    void urgencyFollowsTheTeamThenTheRoute() {
        assertEquals(0, urgency(FIRST, QUERIES));
        assertEquals(1, urgency(FIRST, BRIEFS));
        assertEquals(OptionalInt.of(4), fairness.urgency(call(Optional.of(SECOND), QUERIES)));
        assertEquals(OptionalInt.of(4), fairness.urgency(call(Optional.empty(), QUERIES)));
    }

    // Guards against a team above its share whose calls go before those of teams within theirs.
    @Test
    void callsAboveTheShareOfTheirTeamAreDemoted() {
        excess.update(true, Map.of(FIRST.name(), 2.0));

        assertEquals(2, urgency(FIRST, QUERIES));
        assertEquals(4, urgency(SECOND, QUERIES));
    }

    // Guards against deployments without teams whose waiting calls are sent in another order than before.
    @Test
    void callsWithoutTeamsKeepTheirOrder() {
        List<Optional<FairCall>> calls = List.of(call(Optional.of(SECOND), QUERIES), Optional.empty());

        assertEquals(calls, fairness.order(calls, call -> call));
    }

    @Test
    void waitingCallsAreOrderedByTeamThenRoute() {
        Optional<FairCall> first = call(Optional.of(FIRST), BRIEFS);
        Optional<FairCall> second = call(Optional.of(SECOND), QUERIES);

        assertEquals(List.of(first, second), fairness.order(List.of(second, first), call -> call));
    }

    @Test
    void sizeOfACallIsBoundedAndHasADefault() {
        assertEquals(1_000_000, sized(FIRST, Optional.of(new TokenCount(Long.MAX_VALUE, 1))));
        assertEquals(9_300, sized(FIRST, Optional.of(new TokenCount(9_200, 100))));
        assertEquals(1_000, sized(FIRST, Optional.empty()));
        Team limited = new Team(new TeamName("t"), 0, Optional.of(new QuotaLimit(5, 0, true, 700)));
        assertEquals(700, sized(limited, Optional.empty()));
    }

    private int urgency(Team team, Route route) {
        Optional<FairCall> call = call(Optional.of(team), route);
        fairness.admit(call);
        return fairness.urgency(call).orElseThrow();
    }

    private long sized(Team team, Optional<TokenCount> size) {
        return new FairCall(Optional.of(team), QUERIES, SERVICE, Optional.empty(), size, 0, 0, 0).tokens;
    }

    private Optional<FairCall> call(Optional<Team> team, Route route) {
        long now = time.millis();
        return Optional.of(
                new FairCall(team, route, SERVICE, Optional.empty(), Optional.empty(), now, now + 15_000, now + 4_000));
    }

    private static ServingConfig config() {
        return new ServingConfig(
                1,
                List.of(QUERIES, BRIEFS),
                Map.of(),
                RequestLimits.DEFAULT,
                Optional.of(new TeamDirectory(Map.of(new ApiKey("a"), FIRST, new ApiKey("b"), SECOND))));
    }

    private static Team team(String name, int priority) {
        return new Team(new TeamName(name), priority, Optional.empty());
    }

    private static Route route(String name, int priority, Duration objective) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                RouteKind.STREAM,
                Duration.ofSeconds(15),
                objective,
                Duration.ofMillis(400),
                priority,
                2,
                true,
                false,
                List.of(new WeightedService(SERVICE, 1)));
    }
}
