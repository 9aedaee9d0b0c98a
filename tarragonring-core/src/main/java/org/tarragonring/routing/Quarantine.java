package org.tarragonring.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.log.LogEvent;
import org.tarragonring.routing.FailureHistory.Failure;
import org.tarragonring.time.MonotonicClock;

/**
 * Finds the requests, and the parts of prompts, that make replicas fail, from the failures during which they ran and from
 * the responses to them.
 *
 * <p>A failure breaks off sound requests, too. Suspects are therefore blamed one after the other, the one with the most
 * failures first; a failure that it explains speaks against no other one. Any response to a suspect refutes the failures
 * before it. All entries that know the same failures and responses come to the same result.
 *
 * <p>A quarantined suspect is refused for some time. Then a single entry lets one request with it run: a harmless one may
 * have run on several replicas when they failed for another reason. If a replica fails again, the suspect is refused for
 * much longer; if the request is answered completely, the suspect is no longer under suspicion.
 *
 * <p>Thread-safe.
 *
 * @since 0.1.0
 */
public final class Quarantine {

    /** How long a suspect is refused after the failure that quarantines it. */
    public static final Duration FIRST_REFUSAL = FailureHistory.FIRST_REFUSAL;

    /** How long callers should wait for the result of a run that another entry may start now. */
    static final Duration TRIAL_WAIT = Duration.ofSeconds(1);

    private static final int MAX_SUSPECTS = 10_000;

    /** Most failures first; on a tie whatever refuses the fewest sound requests. */
    private static final Comparator<Candidate> BY_EVIDENCE = Comparator.comparingInt(Candidate::evidence)
            .thenComparing(candidate -> !candidate.suspect().isPromptPart())
            .thenComparing(candidate -> !candidate.answeredBefore())
            .thenComparingInt(candidate -> candidate.suspect().promptPart())
            .thenComparing(candidate -> candidate.suspect().fingerprint().value());

    private final MonotonicClock clock;
    private final Duration retention;
    private final int maxSuspects;

    /** In the order of the latest failure, the oldest first. */
    private final Map<RequestFingerprint, FailureHistory> histories = new LinkedHashMap<>();

    /** The times of the latest responses, the oldest first. */
    private final Map<RequestFingerprint, Long> answeredMillis = new LinkedHashMap<>();

    private int quarantinedCount;

    /**
     * Creates an empty quarantine.
     *
     * @param clock the monotonic clock, not null
     * @param retention the time for which failures and responses are remembered, not null
     */
    public Quarantine(MonotonicClock clock, Duration retention) {
        this(clock, retention, MAX_SUSPECTS);
    }

    Quarantine(MonotonicClock clock, Duration retention, int maxSuspects) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.retention = Objects.requireNonNull(retention, "retention");
        this.maxSuspects = maxSuspects;
    }

    /**
     * Returns the number of replicas that failed while they ran a suspect, and that were not followed by a response.
     *
     * @param suspect the fingerprint of the suspect, not null
     * @return the number of failures, 0 if there were none or they have expired
     */
    public synchronized int failureCount(RequestFingerprint suspect) {
        FailureHistory history = find(suspect);
        return history == null ? 0 : history.failureCount();
    }

    /**
     * Checks whether a suspect is quarantined.
     *
     * @param suspect the fingerprint of the suspect, not null
     * @return true if replicas fail because of it, as far as known
     */
    public synchronized boolean isQuarantined(RequestFingerprint suspect) {
        FailureHistory history = find(suspect);
        return history != null && history.isQuarantined();
    }

    /**
     * Checks whether anything is quarantined, so that callers can skip the computation of fingerprints.
     *
     * @return true if at least one suspect is quarantined
     */
    public synchronized boolean hasQuarantined() {
        return quarantinedCount > 0;
    }

    /**
     * Checks whether anything is under suspicion, so that callers can skip the computation of fingerprints.
     *
     * @return true if there is no record of a failure
     */
    public synchronized boolean isEmpty() {
        removeExpired();
        return histories.isEmpty();
    }

    /**
     * Returns the number of suspects.
     *
     * @return the number of requests and parts with failures that no response has refuted
     */
    public synchronized int size() {
        removeExpired();
        return histories.size();
    }

    /**
     * Decides whether a request must be refused now. If not although a suspect is quarantined, the invoker must run the
     * request at most once.
     *
     * @param suspects the request and the parts of its prompt, not null
     * @param runsTrial returns whether this entry may run one request with a suspect after its refusal has ended, not
     *     null
     * @return the suspect that is refused and for how long, empty if the request may run
     */
    public synchronized Optional<Refusal> refusal(List<Suspect> suspects, Predicate<RequestFingerprint> runsTrial) {
        List<Suspect> quarantined = suspects.stream()
                .filter(suspect -> isQuarantined(suspect.fingerprint()))
                .toList();
        long nowMillis = clock.millis();
        for (Suspect suspect : quarantined) {
            long blockedMillis = histories.get(suspect.fingerprint()).blockedUntilMillis() - nowMillis;
            if (blockedMillis > 0) {
                return Optional.of(new Refusal(suspect, Duration.ofMillis(blockedMillis)));
            }
            if (!runsTrial.test(suspect.fingerprint())) {
                return Optional.of(new Refusal(suspect, TRIAL_WAIT));
            }
        }
        for (Suspect suspect : quarantined) {
            FailureHistory history = histories.get(suspect.fingerprint());
            history.onTrial(nowMillis);
            LogEvent.QUARANTINE_TRIAL.log(suspect.fingerprint(), history.failureCount());
        }
        return Optional.empty();
    }

    /**
     * Returns what to store of a quarantined suspect.
     *
     * @param suspect the fingerprint of the suspect, not null
     * @return the quarantine, empty if the suspect is not quarantined
     */
    public synchronized Optional<QuarantineState> state(RequestFingerprint suspect) {
        FailureHistory history = find(suspect);
        if (history == null || !history.isQuarantined()) {
            return Optional.empty();
        }
        long nowMillis = clock.millis();
        return Optional.of(new QuarantineState(
                history.suspect().promptPart(),
                Duration.ofMillis(history.refusedUntilMillis() - nowMillis),
                history.failedTrials(),
                Duration.ofMillis(history.expiresAtMillis() - nowMillis)));
    }

    /**
     * Records failures of replicas, which may start again under the same name. A run that started before the last
     * recorded failure of its replica belongs to that failure; one that started later belongs to another one. A failure
     * before the latest response to the suspect does not count.
     *
     * @param runs the runs, not null
     * @return the runs that were not recorded before, never null
     */
    public synchronized List<FailedRun> recordFailures(List<FailedRun> runs) {
        List<FailedRun> recorded = new ArrayList<>();
        for (FailedRun run : runs) {
            if (record(run)) {
                recorded.add(run);
            }
        }
        if (!recorded.isEmpty()) {
            evaluate();
        }
        return recorded;
    }

    /**
     * Records one failure, as {@link #recordFailures} does.
     *
     * @param run the run, not null
     * @return true if the failure was not recorded before
     */
    public boolean recordFailure(FailedRun run) {
        return !recordFailures(List.of(run)).isEmpty();
    }

    /**
     * Quarantines a suspect that another entry has quarantined, until this entry knows better.
     *
     * @param suspect the fingerprint of the suspect, not null
     * @param state the quarantine, not null; nothing is recorded if it has expired
     */
    public synchronized void quarantine(RequestFingerprint suspect, QuarantineState state) {
        Duration remaining = state.remaining();
        if (remaining.isNegative() || remaining.isZero()) {
            return;
        }
        FailureHistory known = find(suspect);
        FailureHistory history = known == null ? new FailureHistory(new Suspect(suspect, state.promptPart())) : known;
        long nowMillis = clock.millis();
        Duration longestRefusal = FailureHistory.refusalAfter(state.failedTrials());
        Duration refusal = state.refusal().compareTo(longestRefusal) < 0 ? state.refusal() : longestRefusal;
        history.quarantineAsStored(nowMillis + refusal.toMillis(), state.failedTrials());
        long longestMillis = longestRefusal.plus(retention).toMillis();
        keep(history, nowMillis + Math.min(remaining.toMillis(), longestMillis));
        evaluate();
    }

    /**
     * Records a complete response to a request, which refutes the failures before it.
     *
     * @param suspect the fingerprint of the request or of a part of its prompt, not null
     * @return true if it was under suspicion
     */
    public boolean clear(RequestFingerprint suspect) {
        return answered(suspect, clock.millis());
    }

    /**
     * Records that a suspect was answered at some time.
     *
     * @param suspect the fingerprint of the request or of a part of its prompt, not null
     * @param timeMillis the time of the response on the monotonic clock, in milliseconds
     * @return true if failures before that time were recorded
     */
    public synchronized boolean answered(RequestFingerprint suspect, long timeMillis) {
        Long known = answeredMillis.remove(suspect);
        answeredMillis.put(suspect, known == null ? timeMillis : Math.max(known, timeMillis));
        if (answeredMillis.size() > maxSuspects) {
            answeredMillis.remove(answeredMillis.keySet().iterator().next());
        }
        FailureHistory history = find(suspect);
        if (history == null) {
            return false;
        }
        history.removeUntil(timeMillis);
        boolean refutesAll = history.failureCount() == 0;
        if (refutesAll) {
            histories.remove(suspect);
            LogEvent.REQUEST_CLEARED.log(suspect, "a replica has answered it");
        }
        evaluate();
        return refutesAll;
    }

    /**
     * Returns the time of the latest response to a suspect.
     *
     * @param suspect the fingerprint of the request or of a part of its prompt, not null
     * @return the time on the monotonic clock in milliseconds, empty if no response is remembered
     */
    public synchronized Optional<Long> answeredMillis(RequestFingerprint suspect) {
        return Optional.ofNullable(answeredMillis.get(suspect))
                .filter(timeMillis -> clock.millis() - timeMillis < retention.toMillis());
    }

    /**
     * Returns the failures of the quarantined suspects, so that other entries can come to the same result.
     *
     * @return the runs, never null
     */
    public synchronized List<FailedRun> failuresOfQuarantined() {
        return histories.values().stream()
                .filter(FailureHistory::isQuarantined)
                .flatMap(history -> history.failures().stream()
                        .map(failure -> new FailedRun(
                                history.suspect(),
                                failure.replica(),
                                failure.startedMillis(),
                                failure.failedMillis(),
                                failure.firstId())))
                .toList();
    }

    private boolean record(FailedRun run) {
        RequestFingerprint fingerprint = run.suspect().fingerprint();
        Optional<Long> answered = answeredMillis(fingerprint);
        if (answered.isPresent() && run.failedMillis() <= answered.get()) {
            return false;
        }
        FailureHistory known = find(fingerprint);
        FailureHistory history = known == null ? new FailureHistory(run.suspect()) : known;
        if (!history.add(run)) {
            return false;
        }
        keep(history, run.failedMillis() + retention.toMillis());
        return true;
    }

    /** Decides anew which suspects are quarantined. */
    private void evaluate() {
        Set<FailureHistory> blamed = new HashSet<>();
        List<Failure> explainedFailures = new ArrayList<>();
        Predicate<Failure> explained = failure -> explainedFailures.stream().anyMatch(failure::isSame);
        Optional<Candidate> next = strongestCandidate(blamed, explained);
        while (next.isPresent()) {
            blamed.add(next.get().history());
            explainedFailures.addAll(next.get().history().failures());
            next = strongestCandidate(blamed, explained);
        }
        quarantinedCount = 0;
        for (FailureHistory history : histories.values()) {
            boolean answeredBefore = isAnsweredBefore(history);
            boolean hasEnoughFailures = history.evidence(failure -> false, answeredBefore) > 0;
            boolean isBlamed = blamed.contains(history);
            boolean changed = history.update(isBlamed, hasEnoughFailures && !isBlamed, answeredBefore);
            if (changed) {
                logChange(history);
            }
            if (history.isQuarantined()) {
                quarantinedCount++;
            }
            if (history.isQuarantined() && history.failureCount() > 0) {
                history.keepUntil(history.refusedUntilMillis() + retention.toMillis());
            }
        }
    }

    private Optional<Candidate> strongestCandidate(Set<FailureHistory> blamed, Predicate<Failure> explained) {
        return histories.values().stream()
                .filter(history -> !blamed.contains(history))
                .map(history -> {
                    boolean answeredBefore = isAnsweredBefore(history);
                    return new Candidate(history, history.evidence(explained, answeredBefore), answeredBefore);
                })
                .filter(candidate -> candidate.evidence > 0)
                .max(BY_EVIDENCE);
    }

    private boolean isAnsweredBefore(FailureHistory history) {
        return history.suspect().isPromptPart()
                && answeredMillis(history.suspect().fingerprint()).isPresent();
    }

    private static void logChange(FailureHistory history) {
        if (!history.isQuarantined()) {
            LogEvent.REQUEST_CLEARED.log(history.suspect().fingerprint(), "another suspect explains the failures");
        } else if (history.suspect().isPromptPart()) {
            LogEvent.PROMPT_PART_QUARANTINED.log(
                    history.suspect().fingerprint(), history.suspect().promptPart(), history.failureCount());
        } else {
            LogEvent.REQUEST_QUARANTINED.log(history.suspect().fingerprint(), history.failureCount());
        }
    }

    private FailureHistory find(RequestFingerprint suspect) {
        FailureHistory history = histories.get(suspect);
        if (history != null && isExpired(history)) {
            histories.remove(suspect);
            evaluate();
            return null;
        }
        return history;
    }

    private boolean isExpired(FailureHistory history) {
        return clock.millis() >= history.expiresAtMillis();
    }

    private void removeExpired() {
        if (histories.values().removeIf(this::isExpired)) {
            evaluate();
        }
    }

    private void keep(FailureHistory history, long expiresAtMillis) {
        RequestFingerprint fingerprint = history.suspect().fingerprint();
        history.keepUntil(expiresAtMillis);
        histories.remove(fingerprint);
        histories.put(fingerprint, history);
        if (histories.size() > maxSuspects) {
            histories.values().removeIf(this::isExpired);
            removeOldest(kept -> !kept.isQuarantined() && kept != history);
            removeOldest(kept -> kept != history);
        }
    }

    private void removeOldest(Predicate<FailureHistory> removable) {
        var iterator = histories.values().iterator();
        while (histories.size() > maxSuspects && iterator.hasNext()) {
            if (removable.test(iterator.next())) {
                iterator.remove();
            }
        }
    }

    private record Candidate(FailureHistory history, int evidence, boolean answeredBefore) {

        Suspect suspect() {
            return history.suspect();
        }
    }

    /**
     * Tells that a request is refused.
     *
     * @param suspect the quarantined request or part of its prompt, as in the request; not null
     * @param remaining the time after which the caller may come back, not null
     */
    public record Refusal(Suspect suspect, Duration remaining) {}
}
