package org.tarragonring.gateway.team;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.config.WeightedService;
import org.tarragonring.policy.team.ApiKey;
import org.tarragonring.policy.team.KeyDigest;
import org.tarragonring.policy.team.KeyFreshness;
import org.tarragonring.policy.team.KeySettings;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A call must run for the team that holds its key only, and without a team only where the route allows it. */
class CallAuthenticatorTest {

    private static final Team TEAM = new Team(new TeamName("a"), 1, Optional.empty());
    private static final Optional<ApiKey> KEY = Optional.of(new ApiKey("key-1"));
    private static final Optional<ApiKey> UNKNOWN = Optional.of(new ApiKey("key-9"));
    private static final ServingConfig WITH_TEAMS =
            config(Optional.of(new TeamDirectory(Map.of(KEY.orElseThrow(), TEAM))));

    private final ManualTime time = new ManualTime();
    private final KeyFreshness freshness = new KeyFreshness(new KeySettings(Duration.ofSeconds(5), true), time, time);
    private final CallAuthenticator authenticator = new CallAuthenticator(freshness);

    @Test
    void callWithAKnownKeyBelongsToItsTeam() {
        freshness.onRequestSent().run();

        assertEquals(Optional.of(TEAM), authenticate(false, KEY).team());
        assertEquals(Optional.of(TEAM), authenticate(true, KEY).team());
    }

    @Test
    void callWithoutAKnownKeyIsRefused() {
        freshness.onRequestSent().run();

        assertEquals(401, status(authenticate(false, UNKNOWN)));
        assertEquals(401, status(authenticate(false, Optional.empty())));
        assertTrue(authenticate(false, UNKNOWN).refusal().stream()
                .noneMatch(refusal -> refusal.reason().contains("key-9")));
    }

    // Guards against a final refusal of a key that an operator has given out, and against a call outside its team's
    // limit.
    @Test
    void callWithTheKeyOfATeamThatCannotBeReadIsRefusedForAWhile() {
        freshness.onRequestSent().run();
        ServingConfig config =
                config(Optional.of(new TeamDirectory(List.of(), Map.of(), Set.of(KeyDigest.of(KEY.orElseThrow())))));

        for (boolean anonymous : new boolean[] {false, true}) {
            CallAuthenticator.Result result = authenticator.authenticate(config, route(anonymous), KEY);
            assertEquals(503, status(result));
            assertTrue(result.refusal().orElseThrow().retryAfterMillis() > 0);
        }
        assertEquals(401, status(authenticator.authenticate(config, route(false), UNKNOWN)));
    }

    @Test
    void unknownKeyIsDroppedOnARouteForAnonymousCalls() {
        freshness.onRequestSent().run();

        assertEquals(new CallAuthenticator.Result(Optional.empty(), Optional.empty()), authenticate(true, UNKNOWN));
    }

    @Test
    void callsWithKeysAreRefusedForAWhileIfTheConfigurationIsNotConfirmed() {
        freshness.onRequestSent().run();
        time.skip(Duration.ofSeconds(5));

        assertEquals(503, status(authenticate(false, KEY)));
        assertEquals(503, status(authenticate(true, KEY)));
        assertEquals(503, status(authenticate(false, UNKNOWN)), "the key may have been added meanwhile");
        assertTrue(authenticate(false, KEY).refusal().orElseThrow().retryAfterMillis() > 0);
        assertEquals(Optional.empty(), authenticate(true, Optional.empty()).refusal());
    }

    @Test
    void callsNeedNoKeyIfTheConfigurationHasNoTeams() {
        assertEquals(
                new CallAuthenticator.Result(Optional.empty(), Optional.empty()),
                authenticator.authenticate(config(Optional.empty()), route(false), UNKNOWN));
    }

    private CallAuthenticator.Result authenticate(boolean allowsAnonymous, Optional<ApiKey> key) {
        return authenticator.authenticate(WITH_TEAMS, route(allowsAnonymous), key);
    }

    private static int status(CallAuthenticator.Result result) {
        return result.refusal().orElseThrow().status();
    }

    private static ServingConfig config(Optional<TeamDirectory> teams) {
        return new ServingConfig(1, List.of(), Map.of(), RequestLimits.DEFAULT, teams);
    }

    private static Route route(boolean allowsAnonymous) {
        return new Route(
                "r",
                "h.example",
                "/x/",
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(8),
                Duration.ofSeconds(1),
                Duration.ZERO,
                0,
                1,
                false,
                allowsAnonymous,
                List.of(new WeightedService(new ServiceName("app"), 1)));
    }
}
