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
import org.tarragonring.routing.Suspect;
import org.tarragonring.spread.FailureReports;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * The quarantine that all entries share for requests, and for parts of prompts, that make replicas fail.
 *
 * <p>Each entry reports the failures that it sees to all others at once, so that all entries refuse the same requests,
 * also while the store is down. Quarantined requests and parts are kept in the store, for entries that start later or
 * that the reports did not reach.
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
     * @param clock the monotonic clock, not null
     * @param wallClock the clock of the expiry times in the store, not null
     * @param timers schedules retransmissions and retries, not null
     * @param random spreads the messages and writes of several entries, not null
     */
    public RequestQuarantine(
            EntryId self,
            Mesh mesh,
            RevisionedStore store,
            MonotonicClock clock,
            InstantSource wallClock,
            Timers timers,
            Random random) {
        this.random = Objects.requireNonNull(random, "random");
        this.quarantine = new Quarantine(clock, RETENTION);
        this.reports = new FailureReports(self, quarantine, mesh.messenger(), clock, timers, random);
        this.records = new QuarantineRecords(
                store,
                quarantine,
                clock,
                wallClock,
                timers,
                () -> mesh.entryFor(CLEANUP_DUTY).equals(self));
        mesh.on(PeerMessage.FailureReport.class, this::onReport);
    }

    /** Starts to watch the quarantine in the store and to exchange failures with other entries. */
    public void start() {
        records.start();
        reports.start();
    }

    /** Stops watching the store and exchanging failures. */
    public void stop() {
        records.stop();
        reports.stop();
    }

    /** Sends the watch request again, as another request to the store has failed and the connections may be faulty. */
    public void renewWatch() {
        records.renewWatch();
    }

    /**
     * Checks if the quarantine was read from the store.
     *
     * @return true after the first complete listing
     */
    public boolean isListed() {
        return records.isListed();
    }

    /**
     * Returns the number of requests and parts that ran on a failed replica and have not been answered since.
     *
     * @return the number of suspects, quarantined or not
     */
    public int suspectCount() {
        return quarantine.size();
    }

    /**
     * Decides whether a request must be refused now because replicas failed while running it or a part of its prompt. If
     * not although it is quarantined, the invoker must run it at most once.
     *
     * @param suspects computes the request and the parts of its prompt if they are needed, not null
     * @return the suspect that is refused and for how long, empty if the request may run
     */
    public Optional<Quarantine.Refusal> refusal(Supplier<List<Suspect>> suspects) {
        return reports.refusal(suspects);
    }

    /**
     * Checks whether a request is quarantined, also while it may run once.
     *
     * @param suspects computes the request and the parts of its prompt if they are needed, not null
     * @return true if several replicas failed while they ran it or a part of its prompt
     */
    public boolean isQuarantined(Supplier<List<Suspect>> suspects) {
        return reports.isQuarantined(suspects);
    }

    /**
     * Records runs on a replica that failed, and reports them to the other entries.
     *
     * @param runs the runs, not null
     */
    public void onFailedRuns(List<FailedRun> runs) {
        storeChanges(reports.publish(runs), () -> Duration.ZERO);
    }

    /**
     * Clears a request that a replica has answered completely, and the parts of its prompt, from suspicion, here and at
     * the other entries.
     *
     * @param request computes the fingerprint of the request if it is needed, not null
     * @param parts the parts of its prompt that other requests may have, too; not null
     */
    public void onAnswered(Supplier<RequestFingerprint> request, List<Suspect> parts) {
        reports.publishAnswered(request, parts).forEach(records::delete);
    }

    private void onReport(EntryId from, PeerMessage.FailureReport report) {
        storeChanges(
                reports.receive(from, report),
                () -> MIN_WRITE_DELAY.plusMillis(random.nextInt(WRITE_DELAY_SPREAD_MILLIS)));
    }

    private void storeChanges(List<FailedRun> recorded, Supplier<Duration> writeDelay) {
        if (recorded.isEmpty()) {
            return;
        }
        recorded.stream()
                .map(run -> run.suspect().fingerprint())
                .distinct()
                .filter(quarantine::isQuarantined)
                .forEach(fingerprint -> records.writeAfter(fingerprint, writeDelay.get()));
        records.deleteReleased();
    }
}
