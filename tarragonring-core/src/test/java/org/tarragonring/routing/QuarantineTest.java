package org.tarragonring.routing;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A request that crashes replicas would crash one after the other if entries kept retrying it. */
class QuarantineTest {

    private long nowNanos;
    private final Quarantine quarantine = new Quarantine(() -> nowNanos, Duration.ofMinutes(10));

    @Test
    void requestIsQuarantinedAfterTwoReplicasFailed() {
        quarantine.recordFailure("request", "replica-1");
        assertFalse(quarantine.isQuarantined("request"));
        quarantine.recordFailure("request", "replica-2");
        assertTrue(quarantine.isQuarantined("request"));
    }

    @Test
    void sameReplicaCountsOnce() {
        quarantine.recordFailure("request", "replica-1");
        assertEquals("", quarantine.recordFailure("request", "replica-1"));
        assertFalse(quarantine.isQuarantined("request"));
    }

    @Test
    void failuresReportedByOtherEntriesCount() {
        Quarantine other = new Quarantine(() -> nowNanos, Duration.ofMinutes(10));
        quarantine.recordFailure("request", "replica-1");
        quarantine.recordReportedFailure(other.recordFailure("request", "replica-2"));
        assertTrue(quarantine.isQuarantined("request"));
    }

    @Test
    void recordedFailuresExpire() {
        quarantine.recordFailure("request", "replica-1");
        quarantine.recordFailure("request", "replica-2");
        nowNanos += Duration.ofMinutes(10).toNanos();
        assertFalse(quarantine.isQuarantined("request"));
    }

    @Test
    void malformedSubjectIsIgnored() {
        assertFalse(quarantine.recordReportedFailure("nothing"));
    }
}
