package org.tarragonring.policy.fairness;

/**
 * Gives each refused call a time to come back: the expected end of the shortage, and after that a slot within the time in which the
 * refused calls can be served. Urgent calls come first, then those that have waited longest. Calls that are equal come back
 * spread over a slot, so that no moment brings all of them.
 *
 * @since 0.2.0
 */
public final class RetryAfterSchedule {

    /** Callers honour a longer time only up to this part of the time that they have left. */
    static final int REMAINING_TIME_DIVISOR = 3;

    /** The part of a slot that depends on age; the rest is random. */
    private static final double AGE_PART = 0.7;

    /** A retry that comes earlier finds the same shortage. */
    private static final long MIN_RETRY_MILLIS = 50;

    private RetryAfterSchedule() {}

    /**
     * Returns the place of a call among those that were refused during the same shortage.
     *
     * @param urgency the urgency, from 0, the highest, to {@value PriorityScale#LOWEST_URGENCY}
     * @param ageFraction the part of its time that the call has waited, from 0 to 1
     * @param random a random number from 0 to 1
     * @return the place, from 0, the first, to 1
     */
    public static double place(int urgency, double ageFraction, double random) {
        double withinSlot = AGE_PART * (1 - clamp(ageFraction)) + (1 - AGE_PART) * clamp(random);
        return (urgency + withinSlot) / (PriorityScale.LOWEST_URGENCY + 1);
    }

    /**
     * Returns the time after which a caller is to come back. If the shortage ends too late for the caller, the slots end
     * with the longest time that the caller waits, of which they take half at most.
     *
     * @param shortageMillis the expected time until the shortage ends, 0 or more
     * @param intervalMillis the time after that within which the refused calls can be served, 0 or more
     * @param place the place of the call, from 0 to 1
     * @param remainingMillis the time that the caller has left
     * @return the time in milliseconds, never more than a third of the remaining time if that is 0 or more
     */
    public static long retryAfterMillis(long shortageMillis, long intervalMillis, double place, long remainingMillis) {
        long latestMillis = Math.max(0, remainingMillis / REMAINING_TIME_DIVISOR);
        long lengthMillis = Math.min(intervalMillis, latestMillis / 2);
        long startMillis = Math.min(Math.max(shortageMillis, MIN_RETRY_MILLIS), latestMillis - lengthMillis);
        return startMillis + (long) (clamp(place) * lengthMillis);
    }

    private static double clamp(double value) {
        return Math.max(0, Math.min(1, value));
    }
}
