package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.TeamName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.config.WeightedService;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.team.ApiKey;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;
import org.tarragonring.routing.Ejections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallFairnessTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final ModelName MODEL = new ModelName("m1");
    private static final Route QUERIES = route("queries", 0, Duration.ofMillis(500));
    private static final Route BRIEFS = route("briefs", 2, Duration.ofSeconds(6));
    private static final Team FIRST = team("first", 0);
    private static final Team SECOND = team("second", 1);

    private final ManualTime time = new ManualTime();
    private final TeamExcess excess = new TeamExcess(time);
    private double position = 0.5;
    private final ReplicaCatalog catalog = new ReplicaCatalog(time, new Ejections(time));
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final CallFairness fairness = new CallFairness(
            () -> Optional.of(config()),
            catalog,
            excess,
            new ShareService(new LoneMessenger(), () -> Optional.of(config()), excess, time, time),
            new FairnessMetrics(registry),
            time,
            () -> position);

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

    // Guards against a team that is never served while more urgent ones ask for more than there is.
    @Test
    void reservedCallsGoWithTheMostUrgentOnes() {
        position = 0.1;
        assertEquals(5, urgency(SECOND, BRIEFS));

        excess.update(true, Map.of());

        assertEquals(0, urgency(SECOND, BRIEFS));
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

    @Test
    void withoutTeamsCallersComeBackAfterTheSameTimeAsBefore() {
        assertEquals(1_000, fairness.refuse(Optional.empty(), 1_000));
        assertEquals(700, fairness.refuse(Optional.empty(), Duration.ofMillis(700)));
        assertFalse(fairness.isTooLate(Optional.empty(), Duration.ofHours(1), time.millis()));
    }

    // Guards against callers that come back a second later although their model is loaded in three.
    @Test
    void callerOfALoadingModelComesBackAfterTheLoad() {
        startLoad(3_000);
        long retryAfterMillis = fairness.refuse(modelCall(QUERIES), 1_000);

        assertTrue(retryAfterMillis >= 2_500 && retryAfterMillis <= 5_000, retryAfterMillis + " ms");
    }

    @Test
    void callersOfAPauseDoNotAllComeBackWhenItEnds() {
        long first = fairness.refuse(call(Optional.of(FIRST), QUERIES), Duration.ofMillis(500));
        long second = fairness.refuse(call(Optional.of(SECOND), BRIEFS), Duration.ofMillis(500));

        assertTrue(first >= 500 && second > first, first + " and " + second);
    }

    // Guards against calls that are held until their deadline while others showed that the wait is longer.
    @Test
    void callIsKnownToBeTooLateOnceOthersHaveWaitedLonger() {
        Optional<FairCall> late = call(Optional.of(FIRST), QUERIES);
        Duration delay = Duration.ofMillis(40);
        assertFalse(fairness.isTooLate(late, delay, time.millis() + 1_000));

        Optional<FairCall> waiting = call(Optional.of(SECOND), QUERIES);
        fairness.onNoRoom(waiting);
        time.advance(Duration.ofMillis(1_500));
        fairness.onServed(waiting);

        assertTrue(fairness.isTooLate(late, delay, time.millis() + 1_000));
        assertFalse(fairness.isTooLate(late, delay, time.millis() + 2_000));
        assertTrue(fairness.isTooLate(late, Duration.ofSeconds(3), time.millis() + 2_000));
    }

    // Guards against calls that replicas reject for a moment and that are refused because others waited long for a
    // load.
    @Test
    void waitsForALoadTellNothingOfFullReplicas() {
        Optional<FairCall> waiting = modelCall(QUERIES);
        fairness.onWaitingForLoad(waiting);
        time.advance(Duration.ofMillis(3_000));
        fairness.onServed(waiting);
        Optional<FairCall> rejected = modelCall(QUERIES);
        fairness.onNoRoom(rejected);

        assertFalse(fairness.isTooLate(rejected, Duration.ofMillis(40), time.millis() + 2_000));
    }

    // Guards against a caller that waited in vain at full replicas and is told to come back at once.
    @Test
    void callerThatWaitedInVainComesBackAfterTheUsualWait() {
        Optional<FairCall> call = call(Optional.of(FIRST), QUERIES);
        fairness.onNoRoom(call);
        time.advance(Duration.ofMillis(3_000));
        long retryAfterMillis = fairness.refuse(call, 1_000);

        assertTrue(retryAfterMillis >= 3_000 && retryAfterMillis <= 4_000, retryAfterMillis + " ms");
    }

    @Test
    void refusalsAreMeasuredFromTheArrival() {
        Optional<FairCall> call = call(Optional.of(FIRST), QUERIES);
        time.advance(Duration.ofMillis(300));
        fairness.onEnded(call, "refused", true);
        fairness.onEnded(call, "answered", false);

        assertEquals(300, registry.get("tarragonring.calls.refusal").timer().totalTime(TimeUnit.MILLISECONDS));
    }

    private void startLoad(long durationMillis) {
        UpstreamId id = new UpstreamId("r1");
        catalog.put(new ListedReplica(
                id,
                SERVICE,
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new ListedReplica.Holdings(1, 0, Map.of(), Set.of(), Set.of())));
        ReplicaState replica = catalog.find(id).orElseThrow();
        replica.onOrderState(replica.process(), 1, Map.of(), Optional.of(MODEL), time.millis() + durationMillis);
    }

    private Optional<FairCall> modelCall(Route route) {
        return call(Optional.of(FIRST), route, Optional.of(new WeightKey(SERVICE, MODEL, "")));
    }

    private int urgency(Team team, Route route) {
        Optional<FairCall> call = call(Optional.of(team), route);
        fairness.admit(call);
        return fairness.urgency(call).orElseThrow();
    }

    private long sized(Team team, Optional<TokenCount> size) {
        return new FairCall(Optional.of(team), QUERIES, SERVICE, Optional.empty(), size, 0, 0).tokens;
    }

    private Optional<FairCall> call(Optional<Team> team, Route route) {
        return call(team, route, Optional.empty());
    }

    private Optional<FairCall> call(Optional<Team> team, Route route, Optional<WeightKey> weights) {
        long now = time.millis();
        return Optional.of(new FairCall(team, route, SERVICE, weights, Optional.empty(), now, now + 15_000));
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

    private static final class LoneMessenger implements ShareMessenger {

        @Override
        public EntryId self() {
            return new EntryId("e1");
        }

        @Override
        public EntryId coordinator() {
            return self();
        }

        @Override
        public void send(EntryId to, PeerMessage message) {}

        @Override
        public void broadcast(PeerMessage message) {}

        @Override
        public boolean isAlive(EntryId id) {
            return true;
        }
    }
}
