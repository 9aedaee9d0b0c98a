package org.tarragonring.routing;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class QuarantineTest {

    private long nowNanos;
    private final Quarantine quarantine = new Quarantine(() -> nowNanos, Duration.ofMinutes(10));

    @Test
    void requestIsRefusedAfterTheSecondReplica() {
        quarantine.record("request", "replica-1");
        assertFalse(quarantine.isRefused("request"));
        quarantine.record("request", "replica-2");
        assertTrue(quarantine.isRefused("request"));
    }

    @Test
    void sameReplicaCountsOnce() {
        quarantine.record("request", "replica-1");
        assertEquals("", quarantine.record("request", "replica-1"));
        assertFalse(quarantine.isRefused("request"));
    }

    @Test
    void otherEntriesMarksCount() {
        Quarantine other = new Quarantine(() -> nowNanos, Duration.ofMinutes(10));
        quarantine.record("request", "replica-1");
        quarantine.learn(other.record("request", "replica-2"));
        assertTrue(quarantine.isRefused("request"));
    }

    @Test
    void marksAreForgotten() {
        quarantine.record("request", "replica-1");
        quarantine.record("request", "replica-2");
        nowNanos += Duration.ofMinutes(10).toNanos();
        assertFalse(quarantine.isRefused("request"));
    }

    @Test
    void malformedSubjectIsIgnored() {
        assertFalse(quarantine.learn("nothing"));
    }
}
