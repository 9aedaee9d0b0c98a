package org.tarragonring.policy.lease;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A lease that counts as valid too long lets two holders send orders at the same time. This happens if the validity is
 * counted from the reply instead of the write, or if the monotonic clock stops while the process is suspended.
 */
class OrderLeaseTest {

    private static final Duration VALIDITY = Duration.ofMillis(1_500);

    private long monotonicMillis = 5_000;
    private long wallMillis = 1_000_000;
    private final OrderLease lease = new OrderLease(
            () -> monotonicMillis * MonotonicClock.NANOS_PER_MILLI, () -> Instant.ofEpochMilli(wallMillis), VALIDITY);

    @Test
    void isInvalidBeforeTheFirstGrant() {
        assertFalse(lease.isValid());
    }

    @Test
    void validityStartsWhenTheWriteIsSent() {
        OrderLease.SendTime sent = lease.sendTime();
        advanceClocks(1_000);
        lease.onGranted(sent, 7);

        assertEquals(500, lease.remainingMillis());
        assertEquals(7, lease.fence());
    }

    @Test
    void expiresAfterTheValidity() {
        lease.onGranted(lease.sendTime(), 1);
        advanceClocks(VALIDITY.toMillis());

        assertFalse(lease.isValid());
    }

    @Test
    void becomesInvalidAfterASuspension() {
        lease.onGranted(lease.sendTime(), 1);
        wallMillis += 700;

        assertFalse(lease.isValid(), "the monotonic clock stopped for 700 ms");
    }

    @Test
    void becomesInvalidWhenTheWallClockIsSetBack() {
        lease.onGranted(lease.sendTime(), 1);
        wallMillis -= 2_000;

        assertFalse(lease.isValid());
    }

    @Test
    void toleratesClockDriftUpToTheMaximum() {
        lease.onGranted(lease.sendTime(), 1);
        wallMillis += OrderLease.MAX_CLOCK_DRIFT.toMillis();

        assertTrue(lease.isValid());
    }

    @Test
    void isValidAfterARenewalThatFollowsAClockJump() {
        lease.onGranted(lease.sendTime(), 1);
        wallMillis += 60_000;
        lease.onGranted(lease.sendTime(), 1);

        assertTrue(lease.isValid());
    }

    @Test
    void becomesInvalidWhenLost() {
        lease.onGranted(lease.sendTime(), 1);
        lease.onLost();

        assertFalse(lease.isValid());
    }

    private void advanceClocks(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }
}
