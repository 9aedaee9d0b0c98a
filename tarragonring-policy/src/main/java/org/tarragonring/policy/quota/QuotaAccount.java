package org.tarragonring.policy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.time.MonotonicClock;

/**
 * The quota of one team at the entry that coordinates it: grants tokens to the entries within the limit.
 *
 * <p>Begins empty and without a burst, as it does not know what another coordinator has granted; it gets the burst when a
 * window has passed, in which all grants were its own.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class QuotaAccount {

    /** How long an answer is kept for a repetition of its request; longer than requests are repeated. */
    private static final long ANSWER_VALIDITY_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final QuotaSettings settings;
    private final MonotonicClock clock;
    private final TokenBucket bucket;
    private final long startMillis;
    private final Map<EntryId, Answer> answers = new HashMap<>();
    private QuotaLimit limit;
    private boolean burstGiven;
    private double fillRatePerSecond;
    /** The time until which calls were told to come back, one after the other. */
    private long promisedUntilMillis;

    /**
     * Creates an empty account.
     *
     * @param settings the bounds of quotas, not null
     * @param limit the limit of the team, not null
     * @param share the part of the limit that this account grants, 0 to 1
     * @param clock the monotonic clock, not null
     */
    public QuotaAccount(QuotaSettings settings, QuotaLimit limit, double share, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bucket = new TokenBucket(clock);
        this.startMillis = clock.millis();
        setLimit(limit, share);
    }

    /**
     * Sets the limit from now on; what exceeds it is cut at once.
     *
     * @param newLimit the limit of the team, not null
     * @param share the part of the limit that this account grants, 0 to 1, so that the accounts of the team on both sides
     *     of a partition grant no more than the limit together
     */
    public void setLimit(QuotaLimit newLimit, double share) {
        giveBurstIfDue();
        limit = Objects.requireNonNull(newLimit, "newLimit");
        fillRatePerSecond = settings.grantedRatePerSecond(limit) * share;
        // A limit that counts calls must let at least one call pass.
        double capacity = Math.max(limit.countsTokens() ? 0 : 1, settings.grantedBurst(limit) * share);
        bucket.setLimit(fillRatePerSecond, capacity);
    }

    /** Stops the account from filling, as another entry coordinates the quota now; what it holds may still be granted. */
    public void close() {
        fillRatePerSecond = 0;
        bucket.setLimit(0, Math.max(0, bucket.level()));
        burstGiven = true;
    }

    /**
     * Answers a request for tokens: grants all wanted tokens or none.
     *
     * @param from the entry that sent the request, not null
     * @param sequence identifies the request; a repeated request gets the same answer
     * @param wanted the number of tokens that the entry needs, 0 or more
     * @param returned the number of tokens that it returns, 0 or more
     * @return the answer, never null; grants nothing if a later request of the entry was answered before
     */
    public Answer onRequest(EntryId from, long sequence, long wanted, long returned) {
        long nowMillis = clock.millis();
        Answer last = answers.get(from);
        if (last != null && sequence <= last.sequence() && nowMillis - last.atMillis() < ANSWER_VALIDITY_MILLIS) {
            return sequence == last.sequence() ? last : new Answer(sequence, 0, 0, nowMillis);
        }
        giveBurstIfDue();
        bucket.credit(returned);
        double maxDebt = settings.maxDebt(limit);
        boolean isGranted = wanted == 0 || bucket.tryTake(wanted, maxDebt);
        Answer answer = new Answer(
                sequence, isGranted ? wanted : 0, isGranted ? 0 : promise(wanted, maxDebt, nowMillis), nowMillis);
        answers.put(from, answer);
        return answer;
    }

    private void giveBurstIfDue() {
        if (!burstGiven && clock.millis() - startMillis >= settings.window().toMillis()) {
            burstGiven = true;
            bucket.fillUp();
        }
    }

    /** Returns when there are tokens for a refused call, after those for the calls that were refused before. */
    private long promise(long wanted, double maxDebt, long nowMillis) {
        long windowMillis = settings.window().toMillis();
        long availableMillis = nowMillis + Math.min(windowMillis, bucket.millisUntil(wanted, maxDebt));
        long promisedMillis = Math.min(nowMillis + windowMillis, Math.max(availableMillis, promisedUntilMillis));
        double fillMillis = wanted / Math.max(fillRatePerSecond, Double.MIN_NORMAL) * MILLIS_PER_SECOND;
        promisedUntilMillis = promisedMillis + (long) Math.min(windowMillis, fillMillis);
        return Math.max(1, promisedMillis - nowMillis);
    }

    /** Removes the answers that no request can ask for again, so that entries which are gone take no memory. */
    public void removeOldAnswers() {
        long nowMillis = clock.millis();
        answers.values().removeIf(answer -> nowMillis - answer.atMillis() >= ANSWER_VALIDITY_MILLIS);
    }

    /**
     * The answer to a request for tokens.
     *
     * @param sequence that of the request
     * @param granted the number of tokens granted, all that were wanted or 0
     * @param retryAfterMillis the time after which the wanted tokens are expected to be there, 0 if they are granted
     * @param atMillis the time of the answer on the monotonic clock
     */
    public record Answer(long sequence, long granted, long retryAfterMillis, long atMillis) {}
}
