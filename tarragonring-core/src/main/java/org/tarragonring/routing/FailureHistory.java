package org.tarragonring.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.tarragonring.ids.UpstreamId;

/**
 * The failures of replicas that ran a suspect, and how long it is refused because of them.
 *
 * <p>Not thread-safe.
 */
final class FailureHistory {

    /** How long a suspect is refused after the failure that quarantines it. */
    static final Duration FIRST_REFUSAL = Duration.ofSeconds(10);

    /** The factor by which each failed trial prolongs the refusal. */
    static final int REFUSAL_FACTOR = 10;

    /** The longest refusal. */
    static final Duration MAX_REFUSAL = Duration.ofDays(1);

    /** The number of failures from which on a whole request is quarantined. */
    static final int REQUEST_THRESHOLD = 2;

    /** The number of failures from which on a part is quarantined; many requests have it, also sound ones. */
    static final int PART_THRESHOLD = 3;

    /**
     * Failures of replicas within this time count once for a part that was answered before: they may have another
     * common cause, and some of the many requests with the part were running on each of the replicas.
     */
    static final Duration COMMON_CAUSE_TIME = Duration.ofSeconds(2);

    /** The largest difference between the times at which entries detect one failure of a replica. */
    private static final long DETECTION_SPREAD_MILLIS = 6_000;

    /** The time that a message between entries takes; the times that it tells seem later by it. */
    private static final long DELIVERY_MILLIS = 50;

    private final Suspect suspect;

    /** In the order of their times. */
    private final List<Failure> failures = new ArrayList<>();

    private boolean quarantined;
    private boolean stored;
    private long storedUntilMillis = Long.MIN_VALUE;
    private int storedFailedTrials;
    private long refusedUntilMillis = Long.MIN_VALUE;
    private long trialUntilMillis = Long.MIN_VALUE;
    private int failedTrials;
    private long expiresAtMillis = Long.MIN_VALUE;

    FailureHistory(Suspect suspect) {
        this.suspect = suspect;
    }

    Suspect suspect() {
        return suspect;
    }

    int failureCount() {
        return failures.size();
    }

    List<Failure> failures() {
        return List.copyOf(failures);
    }

    boolean isQuarantined() {
        return quarantined;
    }

    /** Returns the number of trials during which another replica failed. */
    int failedTrials() {
        return failedTrials;
    }

    /** Returns the end of the refusal, without a trial in progress. */
    long refusedUntilMillis() {
        return refusedUntilMillis;
    }

    /** Returns the end of the refusal, or of the time in which the result of a trial is awaited. */
    long blockedUntilMillis() {
        return Math.max(refusedUntilMillis, trialUntilMillis);
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    void keepUntil(long timeMillis) {
        expiresAtMillis = Math.max(expiresAtMillis, timeMillis);
    }

    void onTrial(long nowMillis) {
        trialUntilMillis = nowMillis + FIRST_REFUSAL.toMillis();
    }

    /**
     * Adds a failure. A run that started before the last failure of its replica belongs to that failure. Reports are
     * recognised by the id of the failure, too: entries pass them on, and the times that they tell are later by the delay of
     * each message, which may be longer than the run.
     *
     * @return false if the failure is known
     */
    boolean add(FailedRun run) {
        Optional<Failure> known =
                failures.stream().filter(failure -> failure.includes(run)).findFirst();
        if (known.isPresent()) {
            known.get().ids.add(run.failureId());
            return false;
        }
        int index = failures.size();
        while (index > 0 && failures.get(index - 1).failedMillis > run.failedMillis()) {
            index--;
        }
        Set<Long> ids = new LinkedHashSet<>(List.of(run.failureId()));
        failures.add(index, new Failure(run.replica(), ids, run.startedMillis(), run.failedMillis()));
        return true;
    }

    /** Removes the failures up to a time at which the suspect was answered. */
    void removeUntil(long answeredMillis) {
        failures.removeIf(failure -> failure.failedMillis <= answeredMillis);
    }

    /** Quarantines the suspect as another entry has, until this entry knows failures of its own. */
    void quarantineAsStored(long untilMillis, int trials) {
        stored = true;
        storedUntilMillis = Math.max(storedUntilMillis, untilMillis);
        storedFailedTrials = Math.max(storedFailedTrials, trials);
    }

    /**
     * Returns the number of failures that speak against the suspect.
     *
     * @param explained tells which failures another suspect explains
     * @param answeredBefore whether the suspect was answered before the failures
     * @return the number of failures, 0 if they are too few for a quarantine
     */
    int evidence(Predicate<Failure> explained, boolean answeredBefore) {
        int count = 0;
        long lastMillis = Long.MIN_VALUE;
        for (Failure failure : failures) {
            if (!explained.test(failure) && counts(failure, lastMillis, answeredBefore)) {
                count++;
                lastMillis = failure.failedMillis;
            }
        }
        return count >= threshold() ? count : 0;
    }

    /**
     * Quarantines or releases the suspect.
     *
     * @param byFailures whether its own failures justify the quarantine
     * @param explained whether other suspects explain its failures
     * @param answeredBefore whether the suspect was answered before the failures
     * @return true if the quarantine began or ended
     */
    boolean update(boolean byFailures, boolean explained, boolean answeredBefore) {
        boolean wasQuarantined = quarantined;
        if (explained) {
            stored = false;
        }
        quarantined = byFailures || stored;
        if (quarantined) {
            updateRefusal(answeredBefore);
        }
        return quarantined != wasQuarantined;
    }

    private void updateRefusal(boolean answeredBefore) {
        boolean began = stored;
        int count = 0;
        int trials = stored ? storedFailedTrials : 0;
        long untilMillis = stored ? storedUntilMillis : Long.MIN_VALUE;
        long lastMillis = Long.MIN_VALUE;
        for (Failure failure : failures) {
            if (began) {
                boolean wasTrial = failure.startedMillis >= untilMillis - FIRST_REFUSAL.toMillis() / 2;
                trials += wasTrial ? 1 : 0;
            } else if (counts(failure, lastMillis, answeredBefore)) {
                count++;
                lastMillis = failure.failedMillis;
                began = count >= threshold();
            }
            if (began) {
                untilMillis = Math.max(
                        untilMillis, failure.failedMillis + refusalAfter(trials).toMillis());
            }
        }
        refusedUntilMillis = untilMillis;
        failedTrials = trials;
    }

    private boolean counts(Failure failure, long lastMillis, boolean answeredBefore) {
        return !answeredBefore
                || lastMillis == Long.MIN_VALUE
                || failure.failedMillis - lastMillis >= COMMON_CAUSE_TIME.toMillis();
    }

    private int threshold() {
        return suspect.isPromptPart() ? PART_THRESHOLD : REQUEST_THRESHOLD;
    }

    /** Returns how long a suspect is refused after the given number of failed trials. */
    static Duration refusalAfter(int failedTrials) {
        Duration refusal = FIRST_REFUSAL;
        for (int i = 0; i < failedTrials && refusal.compareTo(MAX_REFUSAL) < 0; i++) {
            refusal = refusal.multipliedBy(REFUSAL_FACTOR);
        }
        return refusal.compareTo(MAX_REFUSAL) < 0 ? refusal : MAX_REFUSAL;
    }

    /**
     * A failure of a replica.
     *
     * @param replica the replica
     * @param ids the ids under which the failure was reported, the first one first; runs are added to them
     * @param startedMillis the start of the run on the monotonic clock
     * @param failedMillis the time at which the failure was detected, on the monotonic clock
     */
    record Failure(UpstreamId replica, Set<Long> ids, long startedMillis, long failedMillis) {

        /** Returns the id under which the failure became known first. */
        long firstId() {
            return ids.iterator().next();
        }

        private boolean includes(FailedRun run) {
            boolean isReportedBefore = run.failureId() != FailedRun.UNKNOWN_FAILURE && ids.contains(run.failureId());
            boolean hasStartedBefore = run.startedMillis() <= failedMillis + DELIVERY_MILLIS;
            return replica.equals(run.replica()) && (isReportedBefore || hasStartedBefore);
        }

        /** Returns whether this is the same failure of the replica, detected by another entry or another run. */
        boolean isSame(Failure other) {
            return replica.equals(other.replica)
                    && Math.abs(failedMillis - other.failedMillis) <= DETECTION_SPREAD_MILLIS;
        }
    }
}
