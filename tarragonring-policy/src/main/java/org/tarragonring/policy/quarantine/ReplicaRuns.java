package org.tarragonring.policy.quarantine;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Supplier;

import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.routing.Suspect;
import org.tarragonring.time.MonotonicClock;

/**
 * Keeps the runs of requests on replicas, so that the requests that ran on a failed replica are known when the failure
 * is detected. A replica that falls silent is detected seconds later, when callers may have left already; a run that
 * ended without a complete response is therefore kept for {@value #UNANSWERED_RETENTION_MILLIS} ms.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaRuns {

    /** Longer than the time until the registration of a silent replica expires and its removal becomes known. */
    static final long UNANSWERED_RETENTION_MILLIS = 6_000;

    private final MonotonicClock clock;
    private final Map<UpstreamId, Set<Run>> runsByReplica = new HashMap<>();

    /** The runs that ended without a complete response, in the order of their ends. */
    private final Deque<Run> unanswered = new ArrayDeque<>();

    /**
     * Creates an instance without runs.
     *
     * @param clock the monotonic clock, not null
     */
    public ReplicaRuns(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records the start of a run.
     *
     * @param replica the replica, not null
     * @param suspects computes the request and the parts of its prompt if they are needed, not null
     * @return the run, to be passed to {@link #end}
     */
    public Run start(UpstreamId replica, Supplier<List<Suspect>> suspects) {
        Run run = new Run(replica, suspects, clock.millis());
        runsByReplica.computeIfAbsent(replica, id -> new LinkedHashSet<>()).add(run);
        return run;
    }

    /**
     * Records the end of a run.
     *
     * @param run the run, not null
     * @param answered whether the replica has completed its response, or rejected the request
     */
    public void end(Run run, boolean answered) {
        removeExpired();
        if (answered) {
            remove(run);
        } else {
            run.endedMillis = clock.millis();
            unanswered.addLast(run);
        }
    }

    /**
     * Removes the runs on a failed replica that have not ended, or ended recently without a complete response.
     *
     * @param replica the replica, not null
     * @return for each request, and for each part of their prompts, the run that started last; each run counts once;
     *     empty if there are none
     */
    public List<FailedRun> takeFailed(UpstreamId replica) {
        removeExpired();
        Set<Run> runs = runsByReplica.remove(replica);
        if (runs == null) {
            return List.of();
        }
        long nowMillis = clock.millis();
        long failureId = Objects.hash(replica, nowMillis);
        Map<RequestFingerprint, FailedRun> lastRuns = new LinkedHashMap<>();
        for (Run run : runs) {
            for (Suspect suspect : run.suspects.get()) {
                lastRuns.merge(
                        suspect.fingerprint(),
                        new FailedRun(suspect, replica, run.startedMillis, nowMillis, failureId),
                        BinaryOperator.maxBy(Comparator.comparingLong(FailedRun::startedMillis)));
            }
        }
        return List.copyOf(lastRuns.values());
    }

    private void removeExpired() {
        long endedBeforeMillis = clock.millis() - UNANSWERED_RETENTION_MILLIS;
        while (!unanswered.isEmpty() && unanswered.peekFirst().endedMillis < endedBeforeMillis) {
            remove(unanswered.removeFirst());
        }
    }

    private void remove(Run run) {
        runsByReplica.computeIfPresent(run.replica, (replica, runs) -> {
            runs.remove(run);
            return runs.isEmpty() ? null : runs;
        });
    }

    /** A run of a request on a replica. */
    public static final class Run {

        private final UpstreamId replica;
        private final Supplier<List<Suspect>> suspects;
        private final long startedMillis;
        private long endedMillis;

        private Run(UpstreamId replica, Supplier<List<Suspect>> suspects, long startedMillis) {
            this.replica = Objects.requireNonNull(replica, "replica");
            this.suspects = Objects.requireNonNull(suspects, "suspects");
            this.startedMillis = startedMillis;
        }
    }
}
