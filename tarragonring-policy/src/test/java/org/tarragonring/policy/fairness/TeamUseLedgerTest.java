package org.tarragonring.policy.fairness;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.fairness.TeamUseLedger.Use;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;

class TeamUseLedgerTest {

    private static final EntryId ENTRY = new EntryId("e1");
    private static final EntryId OTHER = new EntryId("e2");
    private static final TeamName TEAM = new TeamName("team");

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final TeamUseLedger ledger = new TeamUseLedger(clock);

    // Guards against use that is lost together with a report.
    @Test
    void nextReportCarriesWhatALostOneTold() {
        ledger.add(ENTRY, TEAM, 1_000_000, 100);
        ledger.add(OTHER, TEAM, 5_000, 0);
        nowMillis += 1_000;
        ledger.add(ENTRY, TEAM, 1_030_000, 103);
        ledger.add(OTHER, TEAM, 6_000, 1);

        assertEquals(Map.of(TEAM, new Use(31_000, 4)), ledger.recent());
    }

    // Guards against a new share coordinator that takes the totals of many hours for the use of a moment.
    @Test
    void firstReportOfAnEntryTellsNothingOfTheLastSeconds() {
        ledger.add(ENTRY, TEAM, 1_000_000, 100);

        assertEquals(Map.of(), ledger.recent());
    }

    @Test
    void totalsOfARestartedEntryBeginAnew() {
        ledger.add(ENTRY, TEAM, 1_000_000, 100);
        ledger.add(ENTRY, TEAM, 2_000, 1);

        assertEquals(Map.of(TEAM, new Use(2_000, 1)), ledger.recent());
    }

    @Test
    void useIsForgottenAfterTheWindow() {
        ledger.add(ENTRY, TEAM, 0, 0);
        ledger.add(ENTRY, TEAM, 9_000, 1);
        nowMillis += TeamUseLedger.WINDOW_MILLIS - SlidingSum.BUCKET_MILLIS;
        assertEquals(9_000, ledger.recent().get(TEAM).tokens());
        nowMillis += SlidingSum.BUCKET_MILLIS;
        ledger.prune(entry -> true);

        assertEquals(Map.of(), ledger.recent());
    }

    @Test
    void totalsOfALostEntryAreForgotten() {
        ledger.add(ENTRY, TEAM, 1_000, 0);
        ledger.prune(entry -> false);
        ledger.add(ENTRY, TEAM, 2_000, 0);

        assertEquals(Map.of(), ledger.recent());
    }
}
