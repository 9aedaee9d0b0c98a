package org.tarragonring.policy.fairness;

import java.util.HashSet;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryAfterScheduleTest {

    // Guards against callers that all come back when a load ends, of which the replicas take the first few at random.
    @Test
    void callersComeBackAfterTheLoadInTheOrderOfUrgencyAndAge() {
        long urgent = retryAfter(0, 0.1, 0.9);
        long old = retryAfter(2, 0.8, 0.9);
        long young = retryAfter(2, 0.1, 0.1);

        assertTrue(urgent >= 1_200, urgent + " ms");
        assertTrue(urgent < old && old < young, urgent + ", " + old + ", " + young);
        assertTrue(young <= 2_200, young + " ms");
    }

    // Guards against a burst at a third of the remaining time, where all longer times are cut off.
    @Test
    void callersOfALoadThatEndsTooLateDoNotComeBackAtOneMoment() {
        Set<Long> times = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            times.add(RetryAfterSchedule.retryAfterMillis(
                    9_000, 5_000, RetryAfterSchedule.place(3, 0.3, i / 100.0), 6_000));
        }

        assertTrue(times.size() >= 25, times.size() + " times");
        assertTrue(times.stream().allMatch(time -> time >= 1_000 && time <= 2_000));
    }

    @Test
    void callerWithoutTimeIsToldNoTime() {
        assertEquals(0, RetryAfterSchedule.retryAfterMillis(1_000, 1_000, 0.5, 0));
        assertEquals(0, RetryAfterSchedule.retryAfterMillis(1_000, 1_000, 0.5, -10));
    }

    @Property(tries = 500, seed = "11")
    void callersWaitNeverLongerThanAThirdOfTheirTime(
            @ForAll @LongRange(max = 100_000) long shortageMillis,
            @ForAll @LongRange(max = 100_000) long intervalMillis,
            @ForAll @IntRange(max = 9) int urgency,
            @ForAll @DoubleRange(max = 1) double age,
            @ForAll @DoubleRange(max = 1) double random,
            @ForAll @LongRange(max = 60_000) long remainingMillis) {
        long retryAfter = RetryAfterSchedule.retryAfterMillis(
                shortageMillis, intervalMillis, RetryAfterSchedule.place(urgency, age, random), remainingMillis);

        assertTrue(retryAfter >= 0 && retryAfter <= remainingMillis / 3);
    }

    private static long retryAfter(int urgency, double age, double random) {
        return RetryAfterSchedule.retryAfterMillis(
                1_200, 1_000, RetryAfterSchedule.place(urgency, age, random), 15_000);
    }
}
