package org.tarragonring.policy.quota;

import java.time.Duration;
import java.util.Objects;

/**
 * The bounds within which the entries together hold the limits of teams: in any window the calls of a team count at most
 * (rate x window + burst) x (1 + overage) + slack.
 *
 * @param window the window, zero if limits are not held; not null
 * @param overage the part by which the limit may be exceeded, 0 or more
 * @param slackTokens the number of tokens by which the limit may be exceeded besides, 0 or more
 * @since 0.2.0
 */
public record QuotaSettings(Duration window, double overage, double slackTokens) {

    /** No limits are held. */
    public static final QuotaSettings OFF = new QuotaSettings(Duration.ZERO, 0, 0);

    /** How long a call waits for tokens at most. */
    public static final Duration MAX_WAIT = Duration.ofMillis(200);

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The part of the overage and of the slack that teams may use. Entries cannot know the window in which a platform counts,
     * so that a team just within its limit would be refused without it; the rest covers partitions and messages on their way.
     */
    private static final double TOLERANCE_PART = 0.25;

    /** The part of the slack that one bucket may owe; two buckets may, on both sides of a partition. */
    private static final double DEBT_PART = 0.25;

    /** Checks the arguments. */
    public QuotaSettings {
        Objects.requireNonNull(window, "window");
        if (!(overage >= 0 && overage < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("overage must be 0 or more, but is " + overage);
        }
        if (!(slackTokens >= 0 && slackTokens < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("slackTokens must be 0 or more, but is " + slackTokens);
        }
    }

    /**
     * Checks if limits are held.
     *
     * @return false if teams may use as much as they ask for
     */
    public boolean isEnabled() {
        return !window.isZero() && !window.isNegative();
    }

    /**
     * Returns what the calls of a team that are sent within one window may count at most.
     *
     * @param limit the limit of the team, not null
     * @return the number of tokens or calls
     */
    public double maxPerWindow(QuotaLimit limit) {
        double windowSeconds = window.toMillis() / MILLIS_PER_SECOND;
        return (limit.ratePerSecond() * windowSeconds + limit.burst()) * (1 + overage) + slackTokens;
    }

    /**
     * Returns the rate at which the tokens of a team are granted.
     *
     * @param limit the limit of the team, not null
     * @return tokens or calls per second, somewhat above the limit
     */
    public double grantedRatePerSecond(QuotaLimit limit) {
        return limit.ratePerSecond() * (1 + overage * TOLERANCE_PART);
    }

    /**
     * Returns how much is granted to a team at once. A limit may have no burst; the rate alone must let calls pass too.
     *
     * @param limit the limit of the team, not null
     * @return tokens or calls, above the burst of the limit and at least one call whose number of tokens is not known
     */
    public double grantedBurst(QuotaLimit limit) {
        double smallestCall = limit.countsTokens() ? limit.plainTokens() : 1;
        return Math.max(smallestCall, limit.burst() + slackTokens * TOLERANCE_PART);
    }

    /**
     * Returns how much a bucket may owe after a grant, so that large calls have the same chance as small ones.
     *
     * @param limit the limit of the team, not null
     * @return the number of tokens, 0 for limits that count calls
     */
    public double maxDebt(QuotaLimit limit) {
        return limit.countsTokens() ? slackTokens * DEBT_PART : 0;
    }
}
