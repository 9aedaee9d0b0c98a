package org.tarragonring.policy.quota;

import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * The tokens of one team at an entry: those granted for calls that wait, and unused ones to be returned.
 *
 * <p>Tokens are asked for when a call needs them, not in advance, and are not kept for later calls: what lies unused at some
 * entries would be missing at others.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class QuotaBalance {

    private final MonotonicClock clock;
    private long sequence;
    private long tokens;
    private long unusedTokens;

    /**
     * Creates an empty balance.
     *
     * @param firstSequence the sequence number before the first request, higher than that of any request of an earlier
     *     process of this entry
     * @param clock the monotonic clock, not null
     */
    public QuotaBalance(long firstSequence, MonotonicClock clock) {
        this.sequence = firstSequence;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Spends granted tokens.
     *
     * @param count the number of tokens
     * @return true if there were enough; nothing is spent otherwise
     */
    public boolean trySpend(long count) {
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Keeps the granted tokens that no call has spent from being spent; the next request returns them. */
    public void closeGrant() {
        unusedTokens += tokens;
        tokens = 0;
    }

    /**
     * Takes back the tokens of a call that was not sent to a replica.
     *
     * @param count the number of tokens
     * @param spentMillis the time at which they were spent, on the monotonic clock
     * @return true unless it is too late to return them
     */
    public boolean giveBack(long count, long spentMillis) {
        boolean isInTime = clock.millis() - spentMillis < TokenBucket.MAX_RETURN_AGE.toMillis();
        if (isInTime) {
            unusedTokens += count;
        }
        return isInTime;
    }

    /**
     * Creates a request for tokens, which also returns all unused ones.
     *
     * @param needed the number of tokens that calls wait for, 0 to return tokens only
     * @return the request, never null
     */
    public Request request(long needed) {
        closeGrant();
        long returned = unusedTokens;
        unusedTokens = 0;
        return new Request(++sequence, needed, returned, clock.millis());
    }

    /**
     * Records the answer to a request.
     *
     * @param granted the number of tokens granted
     */
    public void onAnswer(long granted) {
        tokens = granted;
    }

    /**
     * Checks if there are tokens to be returned.
     *
     * @return true if a request should be sent although no call needs tokens
     */
    public boolean hasUnused() {
        return unusedTokens > 0;
    }

    /** Drops all tokens, as the limit was lowered. */
    public void clear() {
        tokens = 0;
        unusedTokens = 0;
    }

    /**
     * A request for tokens.
     *
     * @param sequence identifies the request
     * @param wanted the number of tokens asked for
     * @param returned the number of tokens returned
     * @param sentMillis the time at which it is first sent, on the monotonic clock
     */
    public record Request(long sequence, long wanted, long returned, long sentMillis) {}
}
