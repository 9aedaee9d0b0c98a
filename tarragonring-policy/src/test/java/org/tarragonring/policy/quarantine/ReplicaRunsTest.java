package org.tarragonring.policy.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.routing.Suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A failure must be attributed to the requests that ran on the replica, and to no others. */
class ReplicaRunsTest {

    private static final UpstreamId REPLICA = new UpstreamId("replica-1");
    private static final UpstreamId OTHER_REPLICA = new UpstreamId("replica-2");
    private static final RequestFingerprint REQUEST = new RequestFingerprint("a0");
    private static final List<Suspect> SUSPECTS = List.of(Suspect.ofRequest(REQUEST));

    private long nowNanos = Duration.ofMillis(1_000).toNanos();
    private final ReplicaRuns runs = new ReplicaRuns(() -> nowNanos);

    @Test
    void runThatHasNotEndedFails() {
        runs.start(REPLICA, () -> SUSPECTS);
        advance(Duration.ofMillis(50));

        assertEquals(
                List.of(new FailedRun(Suspect.ofRequest(REQUEST), REPLICA, 1_000, 1_050, failureId(1_050))),
                runs.takeFailed(REPLICA));
    }

    @Test
    void eachRunFailsOnce() {
        ReplicaRuns.Run run = runs.start(REPLICA, () -> SUSPECTS);
        runs.takeFailed(REPLICA);
        runs.end(run, false);

        assertEquals(List.of(), runs.takeFailed(REPLICA));
    }

    @Test
    void answeredRunDoesNotFail() {
        runs.end(runs.start(REPLICA, () -> SUSPECTS), true);

        assertEquals(List.of(), runs.takeFailed(REPLICA));
    }

    @Test
    void runOnAnotherReplicaDoesNotFail() {
        runs.start(OTHER_REPLICA, () -> SUSPECTS);

        assertEquals(List.of(), runs.takeFailed(REPLICA));
    }

    // Guards against a silent replica whose failure is detected after the caller has left.
    @Test
    void runThatEndedUnansweredFailsUntilItsRetentionEnds() {
        ReplicaRuns.Run early = runs.start(REPLICA, () -> List.of(Suspect.ofRequest(new RequestFingerprint("b0"))));
        runs.end(early, false);
        advance(Duration.ofMillis(ReplicaRuns.UNANSWERED_RETENTION_MILLIS));
        runs.end(runs.start(REPLICA, () -> SUSPECTS), false);
        advance(Duration.ofMillis(1));

        assertEquals(
                List.of(REQUEST),
                runs.takeFailed(REPLICA).stream()
                        .map(run -> run.suspect().fingerprint())
                        .toList());
    }

    // Guards against a part that counts as often as there are requests with it on the failed replica.
    @Test
    void partOfSeveralRequestsFailsOnceWithTheLastOfItsRuns() {
        runs.start(REPLICA, () -> Suspect.ofRequestAndParts(new RequestFingerprint("a1"), List.of("common", "first")));
        advance(Duration.ofMillis(20));
        runs.start(REPLICA, () -> Suspect.ofRequestAndParts(new RequestFingerprint("a2"), List.of("common", "second")));

        List<FailedRun> failed = runs.takeFailed(REPLICA);

        assertEquals(5, failed.size());
        assertTrue(failed.contains(new FailedRun(
                new Suspect(RequestFingerprint.ofPromptPart("common"), 1), REPLICA, 1_020, 1_020, failureId(1_020))));
    }

    /** The same for all runs that one failure has ended, as far as this entry knows it. */
    private static long failureId(long detectedMillis) {
        return Objects.hash(REPLICA, detectedMillis);
    }

    private void advance(Duration time) {
        nowNanos += time.toNanos();
    }
}
