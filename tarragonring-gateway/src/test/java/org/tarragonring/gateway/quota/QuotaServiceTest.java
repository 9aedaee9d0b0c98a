package org.tarragonring.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.quota.QuotaSettings;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A call must not wait longer than its time for a coordinator that fails, nor take tokens that it does not use. */
class QuotaServiceTest {

    private static final EntryId SELF = new EntryId("front-1");
    private static final EntryId COORDINATOR = new EntryId("front-2");
    private static final TeamName NAME = new TeamName("claims");
    private static final QuotaLimit LIMIT = new QuotaLimit(8_000, 16_000, true, 300);

    private final ManualTime time = new ManualTime();
    private final List<PeerMessage.QuotaRequest> requests = new ArrayList<>();
    private final List<PeerMessage.QuotaGrant> grants = new ArrayList<>();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private EntryId coordinator = COORDINATOR;
    private int alive = 2;
    private QuotaLimit limit = LIMIT;
    private final QuotaService service = create(new QuotaSettings(Duration.ofSeconds(8), 0.1, 110_000));

    @BeforeEach
    void start() {
        service.onListed(2);
        service.start();
    }

    @Test
    void callCountsItsPromptAndOutputTokensOrThoseOfAPlainCall() {
        service.reserve(team(), Optional.of(new TokenCount(900, 100)));
        answer(1_000, 0);
        service.reserve(team(), Optional.empty());

        assertEquals(
                List.of(1_000L, 300L),
                requests.stream().map(PeerMessage.QuotaRequest::wantedTokens).toList());
    }

    @Test
    void lostRequestIsRepeatedAsTheSame() {
        QuotaReservation reservation = reserve(500);
        time.advance(Duration.ofMillis(70));

        assertEquals(2, requests.size());
        assertEquals(requests.get(0), requests.get(1));
        answer(500, 0);
        answer(500, 0);
        assertFalse(reservation.isPending());
        assertEquals(500, granted(), "a second answer grants nothing");
    }

    @Test
    void deniedCallIsRefusedAtOnceWithTheTimeOfTheCoordinator() {
        QuotaReservation reservation = reserve(500);
        List<Long> retryAfter = new ArrayList<>();
        reservation.whenRefused(retryAfter::add);

        answer(0, 700);

        assertEquals(List.of(700L), retryAfter);
    }

    @Test
    void callsThatCameMeanwhileShareARequestAndAreAskedForOneByOneIfItIsDenied() {
        QuotaReservation first = reserve(500);
        QuotaReservation second = reserve(600);
        QuotaReservation third = reserve(200);
        answer(500, 0);
        assertEquals(800, last().wantedTokens());
        answer(0, 100);
        assertEquals(600, last().wantedTokens());
        answer(0, 100);
        assertEquals(200, last().wantedTokens());
        answer(200, 0);

        assertFalse(first.isRefused());
        assertTrue(second.isRefused());
        assertFalse(third.isRefused() || third.isPending());
    }

    // Guards against a negative request, which would fill the account.
    @Test
    void callsOfAnySizeAddUpWithoutOverflow() {
        reserve(500);
        reserve(Long.MAX_VALUE);
        reserve(Long.MAX_VALUE);
        answer(500, 0);

        assertEquals(Long.MAX_VALUE, last().wantedTokens());
    }

    @Test
    void callIsDecidedByTheReserveIfTheCoordinatorDoesNotAnswer() {
        QuotaReservation large = reserve(5_000);
        time.advance(Duration.ofMillis(210));
        assertTrue(large.isRefused());

        time.advance(Duration.ofMillis(500));
        QuotaReservation small = reserve(100);
        time.advance(Duration.ofMillis(210));
        assertFalse(small.isRefused() || small.isPending());
        assertEquals(100, granted());
    }

    @Test
    void tokensOfACallThatWasNotSentAreReturnedOnce() {
        QuotaReservation reservation = reserve(500);
        answer(500, 0);
        reservation.giveBack();
        reservation.giveBack();
        time.advance(Duration.ofMillis(300));

        assertEquals(0, last().wantedTokens());
        assertEquals(500, last().returnedTokens());
    }

    @Test
    void callThatEndsWhileItWaitsLeavesItsTokensToBeReturned() {
        QuotaReservation reservation = reserve(500);
        reservation.giveBack();
        answer(500, 0);
        time.advance(Duration.ofMillis(300));

        assertEquals(500, last().returnedTokens());
        assertEquals(0, granted());
    }

    @Test
    void limitThatIsLoweredCutsTheAccountAtOnce() {
        coordinator = SELF;
        time.advance(Duration.ofSeconds(10));
        limit = new QuotaLimit(10, 20, true, 10);
        service.onConfigChanged();
        limit = LIMIT;
        service.onRequest(COORDINATOR, new PeerMessage.QuotaRequest(NAME, 1, 85_000, 0));

        assertEquals(0, grants.get(0).grantedTokens(), "with the former burst the debt would have been allowed");
    }

    // Guards against calls that are refused with a long time to come back, as the entry does not know the others yet.
    @Test
    void entryThatJoinsAsksTheCoordinatorAsSoonAsItKnowsIt() {
        service.onListed(80);
        coordinator = SELF;
        QuotaReservation reservation = reserve(500);
        alive = 60;
        coordinator = COORDINATOR;
        time.advance(Duration.ofMillis(70));
        answer(500, 0);

        assertEquals(List.of(), grants, "it does not take itself for the coordinator");
        assertFalse(reservation.isRefused() || reservation.isPending());
    }

    @Test
    void entryThatDoesNotCoordinateTheQuotaGrantsNothing() {
        service.onRequest(COORDINATOR, new PeerMessage.QuotaRequest(NAME, 1, 10, 0));

        assertEquals(List.of(), grants);
    }

    @Test
    void nothingIsLimitedWithoutSettings() {
        QuotaReservation reservation = create(QuotaSettings.OFF).reserve(team(), Optional.empty());

        assertFalse(reservation.isPending() || reservation.isRefused());
        assertEquals(List.of(), requests);
    }

    private QuotaReservation reserve(long tokens) {
        return service.reserve(team(), Optional.of(new TokenCount(tokens, 0)));
    }

    private Optional<Team> team() {
        return Optional.of(new Team(NAME, 1, Optional.of(limit)));
    }

    private PeerMessage.QuotaRequest last() {
        return requests.get(requests.size() - 1);
    }

    private void answer(long granted, long retryAfterMillis) {
        service.onGrant(new PeerMessage.QuotaGrant(NAME, last().sequence(), granted, retryAfterMillis));
    }

    private double granted() {
        return registry.counter("tarragonring.quota.tokens", "team", "claims", "outcome", "granted")
                .count();
    }

    private Optional<ServingConfig> config() {
        TeamDirectory teams = new TeamDirectory(List.of(team().orElseThrow()), Map.of());
        return Optional.of(new ServingConfig(1, List.of(), Map.of(), RequestLimits.DEFAULT, Optional.of(teams)));
    }

    private QuotaService create(QuotaSettings settings) {
        QuotaPeers peers = new QuotaPeers() {
            @Override
            public EntryId entryFor(String duty) {
                return coordinator;
            }

            @Override
            public void send(EntryId to, PeerMessage message) {
                if (message instanceof PeerMessage.QuotaRequest request) {
                    requests.add(request);
                } else if (message instanceof PeerMessage.QuotaGrant grant) {
                    grants.add(grant);
                }
            }

            @Override
            public int aliveCount() {
                return alive;
            }
        };
        return new QuotaService(SELF, settings, this::config, peers, new GatewayMetrics(registry), time, 0, time);
    }
}
