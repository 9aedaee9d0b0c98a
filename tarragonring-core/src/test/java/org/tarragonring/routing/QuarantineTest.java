package org.tarragonring.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A request that crashes replicas would crash one after the other if entries kept retrying it. A harmless request that
 * ran on replicas when they failed must not be refused for long.
 */
class QuarantineTest {

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final RequestFingerprint REQUEST = new RequestFingerprint("a0");
    private static final int MAX_REQUESTS = 100;

    private long nowMillis = 1_000;
    private final Quarantine quarantine = new Quarantine(() -> nowMillis * 1_000_000, RETENTION, MAX_REQUESTS);

    @Test
    void requestIsQuarantinedAfterTwoReplicasFailed() {
        fail(REQUEST, "replica-1");
        assertFalse(quarantine.isQuarantined(REQUEST));
        assertEquals(Optional.empty(), refusal(REQUEST, true));
        fail(REQUEST, "replica-2");
        assertTrue(quarantine.isQuarantined(REQUEST));
        assertEquals(Optional.of(Quarantine.FIRST_REFUSAL), refusal(REQUEST, true));
    }

    @Test
    void sameFailureCountsOnce() {
        assertTrue(quarantine.recordFailure(run(REQUEST, "replica-1", 100, 500)));
        assertFalse(quarantine.recordFailure(run(REQUEST, "replica-1", 100, 500)));
        assertFalse(quarantine.isQuarantined(REQUEST));
    }

    // Guards against a failure that counts again each time an entry passes it on: the run was shorter than the delay of
    // the
    // messages, so that it seems to start after the failure.
    @Test
    void failureThatIsReportedLateBySeveralEntriesCountsOnce() {
        long failureId = 77;
        Suspect suspect = Suspect.ofRequest(REQUEST);
        UpstreamId replica = new UpstreamId("replica-1");
        assertTrue(quarantine.recordFailure(new FailedRun(suspect, replica, 498, 500, failureId)));
        for (long delayMillis : new long[] {5, 40, 4_000}) {
            assertFalse(quarantine.recordFailure(
                    new FailedRun(suspect, replica, 498 + delayMillis, 500 + delayMillis, failureId)));
        }
        assertEquals(1, quarantine.failureCount(REQUEST));
        assertFalse(quarantine.isQuarantined(REQUEST));
    }

    // Guards against a failure that counts for each entry that had a short run on the replica.
    @Test
    void shortRunsOfSeveralEntriesDuringOneFailureCountOnce() {
        Suspect suspect = Suspect.ofRequest(REQUEST);
        UpstreamId replica = new UpstreamId("replica-1");
        assertTrue(quarantine.recordFailure(new FailedRun(suspect, replica, 498, 500, 1)));

        assertFalse(quarantine.recordFailure(new FailedRun(suspect, replica, 520, 522, 2)));
        assertEquals(1, quarantine.failureCount(REQUEST));
    }

    @Test
    void failureThatWasReportedUnderAnotherIdIsRecognisedByIt() {
        Suspect suspect = Suspect.ofRequest(REQUEST);
        UpstreamId replica = new UpstreamId("replica-1");
        quarantine.recordFailure(new FailedRun(suspect, replica, 100, 500, 1));
        assertFalse(quarantine.recordFailure(new FailedRun(suspect, replica, 499, 510, 2)));

        assertFalse(quarantine.recordFailure(new FailedRun(suspect, replica, 699, 710, 2)));
    }

    @Test
    void runsThatOneFailureBrokeOffCountOnce() {
        assertTrue(quarantine.recordFailure(run(REQUEST, "replica-1", 100, 500)));
        assertFalse(quarantine.recordFailure(run(REQUEST, "replica-1", 200, 510)));
        assertEquals(1, quarantine.failureCount(REQUEST));
    }

    @Test
    void replicaThatFailsAgainAfterItsRestartCountsAgain() {
        quarantine.recordFailure(run(REQUEST, "replica-1", 100, 500));
        assertTrue(quarantine.recordFailure(run(REQUEST, "replica-1", 600, 700)));
        assertTrue(quarantine.isQuarantined(REQUEST));
    }

    @Test
    void quarantineOfAnotherEntryCounts() {
        quarantine.quarantine(REQUEST, stored(Duration.ofMinutes(4)));
        assertEquals(Optional.of(Quarantine.FIRST_REFUSAL), refusal(REQUEST, true));
        assertEquals(Duration.ofMinutes(4), remaining());
    }

    @Test
    void expiredQuarantineOfAnotherEntryIsIgnored() {
        quarantine.quarantine(REQUEST, stored(Duration.ZERO));
        assertTrue(quarantine.isEmpty());
    }

    @Test
    void quarantineOfAnotherEntryLastsNoLongerThanTheRetentionAfterItsRefusal() {
        quarantine.quarantine(REQUEST, stored(Duration.ofDays(30)));
        assertEquals(RETENTION.plus(Quarantine.FIRST_REFUSAL), remaining());
    }

    @Test
    void answeredRequestIsNoLongerUnderSuspicion() {
        fail(REQUEST, "replica-1");
        assertTrue(quarantine.clear(REQUEST));
        fail(REQUEST, "replica-2");
        assertFalse(quarantine.isQuarantined(REQUEST));
    }

    // Guards against the second copy of a report, which arrives after the request was answered.
    @Test
    void lateReportOfAFailureBeforeTheAnswerIsIgnored() {
        fail(REQUEST, "replica-1");
        nowMillis += 100;
        quarantine.clear(REQUEST);
        nowMillis += 100;

        assertFalse(quarantine.recordFailure(run(REQUEST, "replica-1", 1_000, 1_000)));
        assertEquals(0, quarantine.failureCount(REQUEST));
        assertTrue(quarantine.recordFailure(run(REQUEST, "replica-1", nowMillis, nowMillis)));
    }

    // Guards against a frequent harmless request that stays refused because all replicas failed at the same time.
    @Test
    void quarantinedRequestRunsOnceAfterItsRefusal() {
        fail(REQUEST, "replica-1");
        fail(REQUEST, "replica-2");
        nowMillis += Quarantine.FIRST_REFUSAL.toMillis();

        assertEquals(Optional.of(Quarantine.TRIAL_WAIT), refusal(REQUEST, false));
        assertEquals(Optional.empty(), refusal(REQUEST, true));
        assertTrue(refusal(REQUEST, true).isPresent());
    }

    // Guards against a crashing request that reaches more than three replicas after it has crashed the third.
    @Test
    void refusalGrowsTenfoldWithEachFailedTrialUpToADay() {
        fail(REQUEST, "replica-1");
        fail(REQUEST, "replica-2");
        Duration expected = Quarantine.FIRST_REFUSAL;
        for (int trials = 1; trials < 8; trials++) {
            nowMillis += expected.toMillis();
            assertEquals(Optional.empty(), refusal(REQUEST, true));
            fail(REQUEST, "replica-2");
            expected = expected.multipliedBy(10);
            expected = expected.compareTo(Duration.ofDays(1)) < 0 ? expected : Duration.ofDays(1);
            assertEquals(Optional.of(expected), refusal(REQUEST, true));
        }
    }

    // Guards against runs in flight at the beginning of the quarantine that count as failed trials.
    @Test
    void failureOfARunThatStartedBeforeTheRefusalIsNoFailedTrial() {
        fail(REQUEST, "replica-1");
        fail(REQUEST, "replica-2");
        nowMillis += 1_000;
        quarantine.recordFailure(run(REQUEST, "replica-3", 900, nowMillis));
        assertEquals(Optional.of(Quarantine.FIRST_REFUSAL), refusal(REQUEST, true));
    }

    @Test
    void recordedFailuresExpire() {
        fail(REQUEST, "replica-1");
        fail(REQUEST, "replica-2");
        nowMillis += RETENTION.plus(Quarantine.FIRST_REFUSAL).toMillis();
        assertFalse(quarantine.isQuarantined(REQUEST));
        assertTrue(quarantine.isEmpty());
    }

    // Guards against a flood of suspects that displaces the requests that are known to crash replicas.
    @Test
    void quarantinedRequestsAreEvictedLast() {
        fail(REQUEST, "replica-1");
        fail(REQUEST, "replica-2");
        for (int i = 0; i < 5 * MAX_REQUESTS; i++) {
            fail(new RequestFingerprint("b%x".formatted(i)), "replica-1");
        }
        assertTrue(quarantine.isQuarantined(REQUEST));
        assertEquals(MAX_REQUESTS, quarantine.size());
        assertEquals(0, quarantine.failureCount(new RequestFingerprint("b0")));
    }

    @Test
    void oldestQuarantinedRequestIsEvictedIfAllAreQuarantined() {
        for (int i = 0; i <= MAX_REQUESTS; i++) {
            quarantine.quarantine(new RequestFingerprint("b%x".formatted(i)), stored(RETENTION));
        }
        assertFalse(quarantine.isQuarantined(new RequestFingerprint("b0")));
        assertTrue(quarantine.isQuarantined(new RequestFingerprint("b1")));
    }

    private void fail(RequestFingerprint request, String replica) {
        quarantine.recordFailure(run(request, replica, nowMillis, nowMillis));
    }

    private Optional<Duration> refusal(RequestFingerprint request, boolean runsTrial) {
        return quarantine
                .refusal(List.of(Suspect.ofRequest(request)), suspect -> runsTrial)
                .map(Quarantine.Refusal::remaining);
    }

    private Duration remaining() {
        return quarantine.state(REQUEST).orElseThrow().remaining();
    }

    private static QuarantineState stored(Duration remaining) {
        return new QuarantineState(0, Quarantine.FIRST_REFUSAL, 0, remaining);
    }

    private static FailedRun run(RequestFingerprint request, String replica, long startedMillis, long failedMillis) {
        return new FailedRun(Suspect.ofRequest(request), new UpstreamId(replica), startedMillis, failedMillis);
    }
}
