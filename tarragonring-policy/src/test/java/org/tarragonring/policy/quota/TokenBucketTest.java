package org.tarragonring.policy.quota;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A bucket must never grant more than its rate and its capacity allow, also if tokens come back. */
class TokenBucketTest {

    private static final double DEBT = 1_000;

    private long nowMillis = 40_000;
    private final TokenBucket bucket = create(100, 500);

    @Test
    void beginsEmptyAndFillsUpToItsCapacity() {
        assertFalse(bucket.tryTake(1, 0));
        nowMillis += 3_000;
        assertEquals(300, bucket.level());
        nowMillis += 30_000;
        assertEquals(500, bucket.level());
    }

    @Test
    void largeCallIsGrantedOnDebtSoThatSmallOnesDoNotStarveIt() {
        nowMillis += 10;
        assertTrue(bucket.tryTake(900, DEBT));
        assertFalse(bucket.tryTake(1, DEBT), "a bucket that owes tokens grants none");
        assertEquals(9_000, bucket.millisUntil(900, DEBT), 20);
        assertFalse(bucket.tryTake(2_000, DEBT), "more than the debt allowed");
    }

    @Test
    void lowerCapacityCutsTheLevelAtOnce() {
        nowMillis += 30_000;
        bucket.setLimit(10, 50);

        assertEquals(50, bucket.level());
    }

    // Guards against tokens that are granted in one window, returned in the next and granted again on top of its own.
    @Test
    void returnedTokensAreNotCreditedIfTheBucketWasFullSinceTheirGrant() {
        nowMillis += 30_000;
        assertTrue(bucket.tryTake(500, 0));
        nowMillis += 2_000;

        assertEquals(0, bucket.credit(500), "it would have been full without the grant");
        nowMillis += 21_000;
        assertTrue(bucket.tryTake(400, 0));
        assertEquals(0, bucket.credit(400));
    }

    @Test
    void returnedTokensAreCreditedWhileTheBucketIsShort() {
        nowMillis += 30_000;
        assertTrue(bucket.tryTake(500, 0));
        for (int second = 0; second < 25; second++) {
            nowMillis += 1_000;
            assertTrue(bucket.tryTake(100, 0));
        }

        assertEquals(300, bucket.credit(300));
        assertEquals(300, bucket.level());
        assertEquals(100, bucket.credit(300), "the level of the last seconds is raised by what was credited");
    }

    @Test
    void bucketThatDoesNotKnowTheGrantsOfOthersCreditsNothing() {
        nowMillis += 1_000;

        assertEquals(0, bucket.credit(50));
    }

    private TokenBucket create(double rate, double capacity) {
        TokenBucket created = new TokenBucket(() -> nowMillis * 1_000_000);
        created.setLimit(rate, capacity);
        return created;
    }
}
