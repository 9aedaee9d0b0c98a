package org.tarragonring.placement;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LearnedIdlePolicyTest {

    private static final Duration INITIAL_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration RELOAD_DURATION = Duration.ofSeconds(2);

    private final LearnedIdlePolicy policy = new LearnedIdlePolicy(INITIAL_TIMEOUT, 60);

    @Test
    void usesInitialTimeoutWithoutHistory() {
        assertEquals(INITIAL_TIMEOUT, policy.idleTimeout(new IdlePeriodHistory(), RELOAD_DURATION, 1));
    }

    @Test
    void keepsModelLoadedAcrossShortIdlePeriods() {
        Duration timeout = policy.idleTimeout(history(Duration.ofSeconds(50)), RELOAD_DURATION, 10);
        assertTrue(timeout.compareTo(Duration.ofSeconds(50)) >= 0, timeout.toString());
        assertTrue(timeout.compareTo(Duration.ofSeconds(200)) <= 0, timeout.toString());
    }

    @Test
    void unloadsModelImmediatelyIfIdlePeriodsLastHours() {
        assertEquals(Duration.ZERO, policy.idleTimeout(history(Duration.ofHours(5)), RELOAD_DURATION, 1));
    }

    @Test
    void higherCallWeightLengthensTimeout() {
        IdlePeriodHistory history = history(Duration.ofMinutes(8));
        assertTrue(policy.idleTimeout(history, RELOAD_DURATION, 20)
                        .compareTo(policy.idleTimeout(history, RELOAD_DURATION, 1))
                > 0);
    }

    private static IdlePeriodHistory history(Duration idlePeriod) {
        IdlePeriodHistory history = new IdlePeriodHistory();
        for (int i = 0; i < 10; i++) {
            history.add(idlePeriod);
        }
        return history;
    }
}
