package org.tarragonring.policy.team;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An entry that has lost the store, or was suspended, must not serve a call with a key that may have been removed. */
class KeyFreshnessTest {

    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final Duration RESPONSE_TIME = Duration.ofMillis(900);

    private long monotonicMillis = 10_000;
    private long wallMillis = 500_000;
    private final KeyFreshness freshness = create(new KeySettings(BOUND, true));

    @Test
    void keysAreRefusedBeforeTheFirstConfirmation() {
        assertFalse(freshness.isFresh());
    }

    @Test
    void keysAreRefusedBeforeTheBoundHasPassedSinceTheRequestWasSent() {
        Runnable confirm = freshness.onRequestSent();
        advance(2_000);
        confirm.run();

        advance(2_700);
        assertTrue(freshness.isFresh());
        advance(200);
        assertFalse(freshness.isFresh());
    }

    @Test
    void responseThatArrivesAfterASuspensionConfirmsOnlyTheTimeOfItsRequest() {
        Runnable confirm = freshness.onRequestSent();
        wallMillis += 6_000;
        confirm.run();

        assertFalse(freshness.isFresh(), "the monotonic clock stood still meanwhile");
        assertEquals(6_000, freshness.ageMillis());
    }

    @Test
    void wallClockThatIsSetBackDoesNotProlongTheTime() {
        freshness.onRequestSent().run();
        monotonicMillis += 5_000;
        wallMillis -= 60_000;

        assertFalse(freshness.isFresh());
    }

    @Test
    void answerToAnEarlierRequestDoesNotReplaceThatToALaterOne() {
        Runnable early = freshness.onRequestSent();
        advance(1_000);
        freshness.onRequestSent().run();
        early.run();

        assertEquals(0, freshness.ageMillis());
    }

    @Test
    void keysAreServedWithoutConfirmationWhereTheyAreNotBound() {
        KeyFreshness unbound = create(KeySettings.OFF);

        assertTrue(unbound.isFresh());
        assertEquals(Duration.ofSeconds(9), unbound.watchTime(Duration.ofSeconds(9), RESPONSE_TIME));
    }

    @Test
    void twoWatchesInARowFitIntoTheBound() {
        Duration watchTime = freshness.watchTime(Duration.ofSeconds(30), RESPONSE_TIME);
        freshness.onRequestSent().run();

        advance(2 * watchTime.toMillis() + RESPONSE_TIME.toMillis() - 1);

        assertTrue(freshness.isFresh());
        assertEquals(Duration.ofMillis(1_700), freshness.watchTime(Duration.ofMillis(1_700), RESPONSE_TIME));
    }

    private void advance(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }

    private KeyFreshness create(KeySettings settings) {
        return new KeyFreshness(settings, () -> monotonicMillis * 1_000_000, () -> Instant.ofEpochMilli(wallMillis));
    }
}
