package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.team.ApiKey;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs three entries whose messages are delivered at once or lost. */
class ShareServiceTest {

    private static final TeamName LOUD = new TeamName("loud");
    private static final TeamName QUIET = new TeamName("quiet");
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ManualTime time = new ManualTime();
    private final Map<EntryId, Entry> entries = new LinkedHashMap<>();
    private final List<PeerMessage> sent = new ArrayList<>();
    private EntryId coordinator = new EntryId("e1");
    private boolean isLost;

    ShareServiceTest() {
        for (String name : List.of("e1", "e2", "e3")) {
            EntryId id = new EntryId(name);
            entries.put(id, new Entry(id));
        }
    }

    // Guards against an entry that demotes by its own calls only, of which it sees one in eighty.
    @Test
    void allEntriesLearnOfTheTeamThatSendsFiveTimesItsUsual() {
        shortage(4);

        for (Entry entry : entries.values()) {
            assertTrue(entry.excess.factor(LOUD) > 1.5, "factor " + entry.excess.factor(LOUD));
            assertEquals(1, entry.excess.factor(QUIET));
        }
    }

    @Test
    void withoutRefusedCallsNothingIsTold() {
        for (int i = 0; i < 6; i++) {
            calls(10, 2, 0);
        }

        assertFalse(entry("e2").excess.isShortage());
        assertEquals(
                0,
                sent.stream().filter(PeerMessage.TeamShares.class::isInstance).count());
    }

    // Guards against messages of deployments without teams, which have no calls of teams.
    @Test
    void withoutCallsNothingIsSent() {
        time.advance(Duration.ofSeconds(10));

        assertEquals(List.of(), sent);
    }

    @Test
    void endOfTheShortageIsToldOnce() {
        shortage(4);
        sent.clear();
        time.advance(Duration.ofSeconds(10));

        List<PeerMessage> shares =
                sent.stream().filter(PeerMessage.TeamShares.class::isInstance).toList();
        assertEquals(new PeerMessage.TeamShares(false, Map.of()), shares.get(shares.size() - 1));
        assertEquals(
                1,
                shares.stream()
                        .filter(message -> !((PeerMessage.TeamShares) message).shortage())
                        .count());
        assertFalse(entry("e3").excess.isShortage());
    }

    // Guards against teams that stay demoted for ever when the share coordinator was lost during a shortage.
    @Test
    void sharesOfALostCoordinatorAreDroppedAndTheNextOneTakesOver() {
        shortage(4);
        entries.remove(coordinator).service.stop();
        time.advance(Duration.ofMillis(TeamExcess.MAX_AGE_MILLIS + 10));
        assertEquals(1, entry("e2").excess.factor(LOUD));

        coordinator = new EntryId("e2");
        shortage(3);

        assertTrue(entry("e3").excess.factor(LOUD) > 1.5);
    }

    // Guards against use that is forgotten because a datagram was lost.
    @Test
    void lostReportsAreMadeUpForByTheNext() {
        calls(10, 2, 0);
        calls(10, 2, 0);
        calls(10, 2, 0);
        isLost = true;
        calls(10, 2, 6);
        isLost = false;
        calls(10, 2, 6);

        assertTrue(entry("e2").excess.isShortage());
    }

    @Test
    void sharesOfAnEntryThatDoesNotCoordinateAreIgnored() {
        entry("e3").service.onShares(new EntryId("e2"), new PeerMessage.TeamShares(true, Map.of(LOUD, 4.0)));

        assertFalse(entry("e3").excess.isShortage());
    }

    // Guards against reports of all entries that take the share coordinator's time although nobody is short of
    // anything.
    @Test
    void entryReportsEveryTwoSecondsAndMoreOftenDuringAShortage() {
        isLost = true;
        callsEveryTenMillis(false);
        assertTrue(sent.size() >= 1 && sent.size() <= 2, sent.size() + " reports");
        sent.clear();

        callsEveryTenMillis(true);

        assertTrue(sent.size() >= 7 && sent.size() <= 8, sent.size() + " reports");
    }

    private void callsEveryTenMillis(boolean lacksCapacity) {
        for (int i = 0; i < 400; i++) {
            entry("e2").service.recordCall(LOUD, 100);
            if (lacksCapacity) {
                entry("e2").service.recordLack(LOUD);
            }
            time.advance(Duration.ofMillis(10));
        }
    }

    private void shortage(int seconds) {
        for (int i = 0; i < seconds; i++) {
            calls(10, 2, 6);
        }
    }

    /** Lets all entries run calls for a second. */
    private void calls(int loudCalls, int quietCalls, int refusedLoudCalls) {
        for (Entry entry : entries.values()) {
            for (int i = 0; i < loudCalls; i++) {
                entry.service.recordCall(LOUD, 1_000);
            }
            for (int i = 0; i < quietCalls; i++) {
                entry.service.recordCall(QUIET, 1_000);
            }
            for (int i = 0; i < refusedLoudCalls; i++) {
                entry.service.recordLack(LOUD);
            }
        }
        time.advance(SECOND);
    }

    private Entry entry(String name) {
        return entries.get(new EntryId(name));
    }

    private static ServingConfig config() {
        Team loud = new Team(LOUD, 0, Optional.empty());
        Team quiet = new Team(QUIET, 0, Optional.empty());
        TeamDirectory teams = new TeamDirectory(Map.of(new ApiKey("a"), loud, new ApiKey("b"), quiet));
        return new ServingConfig(1, List.of(), Map.of(), RequestLimits.DEFAULT, Optional.of(teams));
    }

    private final class Entry implements ShareMessenger {

        private final EntryId id;
        private final TeamExcess excess = new TeamExcess(time);
        private final ShareService service = new ShareService(this, () -> Optional.of(config()), excess, time, time);

        private Entry(EntryId id) {
            this.id = id;
        }

        @Override
        public EntryId self() {
            return id;
        }

        @Override
        public EntryId coordinator() {
            return coordinator;
        }

        @Override
        public void send(EntryId to, PeerMessage message) {
            sent.add(message);
            Entry receiver = entries.get(to);
            if (!isLost && receiver != null) {
                receiver.service.onReport(id, (PeerMessage.TeamUseReport) message);
            }
        }

        @Override
        public void broadcast(PeerMessage message) {
            sent.add(message);
            entries.values().stream()
                    .filter(entry -> entry != this)
                    .forEach(entry -> entry.service.onShares(id, (PeerMessage.TeamShares) message));
        }

        @Override
        public boolean isAlive(EntryId entry) {
            return entries.containsKey(entry);
        }
    }
}
