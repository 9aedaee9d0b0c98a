package org.tarragonring.gateway.quarantine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.spread.FailureReports;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * The quarantine that all entries share for requests that make replicas fail.
 *
 * <p>Each entry reports the failures that it sees to all others at once, so that a request is refused everywhere from
 * its second failure on, also while the store is down. Quarantined requests are kept in the store, for entries that
 * start later or that the reports did not reach.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class RequestQuarantine {

    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** The time in which the entry that saw the last failure writes the record; others write it later if it did not. */
    private static final Duration MIN_WRITE_DELAY = Duration.ofMillis(500);

    private static final int WRITE_DELAY_SPREAD_MILLIS = 2_500;
    private static final String CLEANUP_DUTY = "quarantine-cleanup";
    private static final String TRIAL_DUTY_PREFIX = "quarantine-trial/";

    private final EntryId self;
    private final Mesh mesh;
    private final Quarantine quarantine;
    private final FailureReports reports;
    private final QuarantineRecords records;
    private final Random random;

    /**
     * Creates a quarantine that is not started.
     *
     * @param self the id of this entry, not null
     * @param mesh sends reports to the other entries, not null
     * @param store keeps the quarantined requests, not null
     * @param watchTimeout how long the store holds a watch request, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the clock of the expiry times in the store, not null
     * @param timers schedules retransmissions and retries, not null
     * @param random spreads the writes of several entries, not null
     */
    public RequestQuarantine(
            EntryId self,
            Mesh mesh,
            RevisionedStore store,
            Duration watchTimeout,
            MonotonicClock clock,
            InstantSource wallClock,
            Timers timers,
            Random random) {
        this.self = Objects.requireNonNull(self, "self");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.random = Objects.requireNonNull(random, "random");
        this.quarantine = new Quarantine(clock, RETENTION);
        this.reports = new FailureReports(self, quarantine, mesh::broadcast, clock, timers);
        this.records = new QuarantineRecords(
                store,
                watchTimeout,
                quarantine,
                clock,
                wallClock,
                timers,
                () -> mesh.entryFor(CLEANUP_DUTY).equals(self));
        mesh.on(PeerMessage.FailureReport.class, this::onReport);
    }

    /** Starts to watch the quarantined requests in the store. */
    public void start() {
        records.start();
    }

    /** Stops watching the store. */
    public void stop() {
        records.stop();
    }

    /**
     * Checks if the quarantined requests were read from the store.
     *
     * @return true after the first complete listing
     */
    public boolean isListed() {
        return records.isListed();
    }

    /**
     * Returns the number of requests that ran on a failed replica and have not been answered since.
     *
     * @return the number of requests, quarantined or not
     */
    public int suspectCount() {
        return quarantine.size();
    }

    /**
     * Decides whether a request must be refused now because replicas failed while running it. If not although it is
     * quarantined, the invoker must run it at most once.
     *
     * @param request computes the fingerprint of the request if it is needed, not null
     * @return how long the request is refused, empty if it may run
     */
    public Optional<Duration> refusal(Supplier<RequestFingerprint> request) {
        return quarantine.isEmpty()
                ? Optional.empty()
                : quarantine.refusal(
                        request.get(),
                        () -> mesh.entryFor(TRIAL_DUTY_PREFIX + request.get()).equals(self));
    }

    /**
     * Checks whether a request is quarantined, also while it may run once.
     *
     * @param request computes the fingerprint of the request if it is needed, not null
     * @return true if several replicas failed while they ran it
     */
    public boolean isQuarantined(Supplier<RequestFingerprint> request) {
        return !quarantine.isEmpty() && quarantine.isQuarantined(request.get());
    }

    /**
     * Records runs on a replica that failed, and reports them to the other entries.
     *
     * @param runs the runs, not null
     */
    public void onFailedRuns(List<FailedRun> runs) {
        reports.publish(runs).stream()
                .map(FailedRun::request)
                .filter(quarantine::isQuarantined)
                .forEach(request -> records.writeAfter(request, Duration.ZERO));
    }

    /**
     * Clears a request that a replica has answered completely from suspicion, here and at the other entries.
     *
     * @param request computes the fingerprint of the request if it is needed, not null
     */
    public void onAnswered(Supplier<RequestFingerprint> request) {
        if (reports.publishAnswered(request)) {
            records.delete(request.get());
        }
    }

    private void onReport(EntryId from, PeerMessage.FailureReport report) {
        reports.receive(from, report).stream()
                .map(FailedRun::request)
                .filter(quarantine::isQuarantined)
                .forEach(request -> records.writeAfter(
                        request, MIN_WRITE_DELAY.plusMillis(random.nextInt(WRITE_DELAY_SPREAD_MILLIS))));
    }
}
