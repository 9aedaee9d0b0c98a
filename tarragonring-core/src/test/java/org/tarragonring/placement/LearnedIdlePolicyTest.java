package org.tarragonring.placement;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LearnedIdlePolicyTest {

    private static final Duration INITIAL = Duration.ofMinutes(10);
    private static final Duration RELOAD = Duration.ofSeconds(2);

    private final LearnedIdlePolicy policy = new LearnedIdlePolicy(INITIAL, 60);

    @Test
    void modelWithoutHistoryIsKeptForTheInitialTime() {
        assertEquals(INITIAL, policy.keepFor(new GapHistory(), RELOAD, 1));
    }

    @Test
    void modelThatAlwaysReturnsSoonIsKeptUntilThen() {
        Duration keep = policy.keepFor(history(Duration.ofSeconds(50)), RELOAD, 10);
        assertTrue(keep.compareTo(Duration.ofSeconds(50)) >= 0, keep.toString());
        assertTrue(keep.compareTo(Duration.ofSeconds(200)) <= 0, keep.toString());
    }

    @Test
    void modelThatReturnsAfterHoursIsLetGoAtOnce() {
        assertEquals(Duration.ZERO, policy.keepFor(history(Duration.ofHours(5)), RELOAD, 1));
    }

    @Test
    void heavierClassIsKeptLonger() {
        GapHistory gaps = history(Duration.ofMinutes(8));
        assertTrue(policy.keepFor(gaps, RELOAD, 20).compareTo(policy.keepFor(gaps, RELOAD, 1)) > 0);
    }

    private static GapHistory history(Duration gap) {
        GapHistory gaps = new GapHistory();
        for (int i = 0; i < 10; i++) {
            gaps.add(gap);
        }
        return gaps;
    }
}
