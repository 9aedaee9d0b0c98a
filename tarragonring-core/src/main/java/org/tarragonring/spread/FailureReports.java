package org.tarragonring.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.Suspect;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Records in the quarantine which requests ran on replicas that failed and what replicas answered, and shares this with
 * all entries by messages.
 *
 * <p>Failures are sent to all entries at once. Those of quarantined suspects are sent again to entries that have just
 * started, and to one other entry each second, so that entries that missed the first messages know them, too, also
 * without the store. An entry that has answered requests with a part tells the others when failures are reported for it.
 *
 * <p>Thread-safe.
 *
 * @since 0.2.0
 */
public final class FailureReports {

    /** Reports are sent twice, as datagrams may be lost. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(250);

    /** How often the failures of quarantined suspects are sent to another entry. */
    private static final Duration EXCHANGE_PERIOD = Duration.ofSeconds(1);

    /** Several entries may have answered requests with one part; usually the first one tells the others. */
    private static final int MAX_ANNOUNCEMENT_DELAY_MILLIS = 200;

    /** How long an announced response is not announced again. */
    private static final Duration ANNOUNCEMENT_VALIDITY = Duration.ofSeconds(30);

    private static final String TRIAL_DUTY_PREFIX = "quarantine-trial/";

    /** Keeps the size of a report well below that of a datagram. */
    private static final int MAX_RUNS_PER_REPORT = 50;

    private final EntryId self;
    private final Quarantine quarantine;
    private final Peers peers;
    private final MonotonicClock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final Map<RequestFingerprint, Long> announcedMillis = new HashMap<>();
    private Set<Peer> knownPeers = Set.of();
    private int nextPeer;
    private Timers.Task exchangeTask = () -> {};

    /**
     * Creates an instance that is not started.
     *
     * @param self the id of this entry, not null
     * @param quarantine the quarantine of this entry, not null
     * @param peers sends messages to other entries, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the repetition of reports, not null
     * @param random spreads the announcements of several entries, not null
     */
    public FailureReports(
            EntryId self,
            Quarantine quarantine,
            Peers peers,
            MonotonicClock clock,
            Timers timers,
            RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Starts to exchange the failures of quarantined suspects with other entries. */
    public synchronized void start() {
        exchangeTask = timers.scheduleWithFixedDelay(EXCHANGE_PERIOD, this::exchange);
    }

    /** Stops the exchange; failures are still recorded and reported. */
    public synchronized void stop() {
        exchangeTask.cancel();
    }

    /**
     * Records runs on a replica that failed, and reports them to the other entries.
     *
     * @param runs the runs, not null
     * @return the runs that were not recorded before, never null
     */
    public List<FailedRun> publish(List<FailedRun> runs) {
        List<FailedRun> recorded = record(runs, self);
        for (List<FailedRun> part : split(recorded)) {
            broadcastTwice(() -> toReport(part));
        }
        return recorded;
    }

    /**
     * Records a complete response to a request. Clears the request and the parts of its prompt from suspicion, here and
     * at the other entries.
     *
     * @param request computes the fingerprint of the request if it is needed, not null
     * @param parts the shared parts of its prompt, not null
     * @return what was under suspicion, never null
     */
    public List<RequestFingerprint> publishAnswered(Supplier<RequestFingerprint> request, List<Suspect> parts) {
        List<RequestFingerprint> cleared = new ArrayList<>();
        for (Suspect part : parts) {
            if (quarantine.clear(part.fingerprint())) {
                cleared.add(part.fingerprint());
            }
        }
        boolean isSuspect = !quarantine.isEmpty() && quarantine.failureCount(request.get()) > 0
                || quarantine.hasQuarantined() && quarantine.isQuarantined(request.get());
        if (isSuspect && quarantine.clear(request.get())) {
            cleared.add(request.get());
        }
        if (!cleared.isEmpty()) {
            long answeredMillis = clock.millis();
            broadcastTwice(() -> toReport(cleared, answeredMillis));
        }
        return cleared;
    }

    /**
     * Decides whether a request must be refused now. If not although a suspect is quarantined, the invoker must run the
     * request at most once.
     *
     * @param suspects computes the request and the parts of its prompt if they are needed, not null
     * @return the suspect that is refused and for how long, empty if the request may run
     */
    public Optional<Quarantine.Refusal> refusal(Supplier<List<Suspect>> suspects) {
        return quarantine.hasQuarantined() ? quarantine.refusal(suspects.get(), this::runsTrial) : Optional.empty();
    }

    /**
     * Checks whether a request is quarantined, also while it may run once.
     *
     * @param suspects computes the request and the parts of its prompt if they are needed, not null
     * @return true if replicas fail because of the request or one of the parts, as far as known
     */
    public boolean isQuarantined(Supplier<List<Suspect>> suspects) {
        return quarantine.hasQuarantined()
                && suspects.get().stream().anyMatch(suspect -> quarantine.isQuarantined(suspect.fingerprint()));
    }

    /** Returns whether this entry, and no other one with the same view of the members, runs a trial. */
    private boolean runsTrial(RequestFingerprint suspect) {
        List<Peer> usable = peers.usable();
        return usable.isEmpty()
                || Rendezvous.rank(
                                TRIAL_DUTY_PREFIX + suspect,
                                usable,
                                peer -> peer.id().value())
                        .get(0)
                        .id()
                        .equals(self);
    }

    /**
     * Handles a report of another entry.
     *
     * @param from the entry that sent it, not null
     * @param report the report, not null
     * @return the runs that were not recorded before, never null
     */
    public List<FailedRun> receive(EntryId from, PeerMessage.FailureReport report) {
        List<FailedRun> recorded =
                record(report.runs().stream().map(this::toRun).toList(), from);
        for (PeerMessage.Answered answered : report.answered()) {
            markAnnounced(answered.suspect());
            quarantine.answered(answered.suspect(), clock.millis() - answered.agoMillis());
        }
        return recorded;
    }

    private List<FailedRun> record(List<FailedRun> runs, EntryId reporter) {
        List<FailedRun> recorded = quarantine.recordFailures(runs);
        for (FailedRun run : recorded) {
            RequestFingerprint fingerprint = run.suspect().fingerprint();
            int failures = quarantine.failureCount(fingerprint);
            if (run.suspect().isPromptPart()) {
                LogEvent.PROMPT_PART_SUSPECTED.log(
                        fingerprint, run.suspect().promptPart(), run.replica(), failures, reporter);
                scheduleAnnouncement(fingerprint);
            } else {
                LogEvent.REQUEST_SUSPECTED.log(fingerprint, run.replica(), failures, reporter);
            }
        }
        return recorded;
    }

    /** Tells the other entries that this one has answered requests with a part before it came under suspicion. */
    private void scheduleAnnouncement(RequestFingerprint part) {
        if (quarantine.answeredMillis(part).isPresent() && !isAnnounced(part)) {
            timers.schedule(
                    Duration.ofMillis(random.nextInt(MAX_ANNOUNCEMENT_DELAY_MILLIS)), () -> announceAnswered(part));
        }
    }

    private void announceAnswered(RequestFingerprint part) {
        Optional<Long> answeredMillis = quarantine.answeredMillis(part);
        if (answeredMillis.isPresent() && !isAnnounced(part)) {
            markAnnounced(part);
            broadcastTwice(() -> toReport(List.of(part), answeredMillis.get()));
        }
    }

    private synchronized boolean isAnnounced(RequestFingerprint part) {
        Long timeMillis = announcedMillis.get(part);
        return timeMillis != null && clock.millis() - timeMillis < ANNOUNCEMENT_VALIDITY.toMillis();
    }

    private synchronized void markAnnounced(RequestFingerprint part) {
        long nowMillis = clock.millis();
        announcedMillis.values().removeIf(timeMillis -> nowMillis - timeMillis >= ANNOUNCEMENT_VALIDITY.toMillis());
        announcedMillis.put(part, nowMillis);
    }

    /** Sends the failures of quarantined suspects to the entries that have joined since the last time, and to another. */
    private synchronized void exchange() {
        List<Peer> others =
                peers.usable().stream().filter(peer -> !peer.id().equals(self)).toList();
        Set<Peer> receivers = new HashSet<>(others);
        receivers.removeAll(knownPeers);
        knownPeers = Set.copyOf(others);
        List<FailedRun> runs = quarantine.failuresOfQuarantined();
        if (runs.isEmpty() || others.isEmpty()) {
            return;
        }
        nextPeer = (nextPeer + 1) % others.size();
        receivers.add(others.get(nextPeer));
        for (List<FailedRun> part : split(runs)) {
            receivers.forEach(receiver -> peers.send(receiver.id(), toReport(part)));
        }
    }

    private static List<List<FailedRun>> split(List<FailedRun> runs) {
        List<List<FailedRun>> parts = new ArrayList<>();
        for (int from = 0; from < runs.size(); from += MAX_RUNS_PER_REPORT) {
            parts.add(runs.subList(from, Math.min(runs.size(), from + MAX_RUNS_PER_REPORT)));
        }
        return parts;
    }

    private void broadcastTwice(Supplier<PeerMessage> message) {
        peers.broadcast(message.get());
        timers.schedule(REPEAT_DELAY, () -> peers.broadcast(message.get()));
    }

    private PeerMessage toReport(List<FailedRun> runs) {
        long nowMillis = clock.millis();
        return new PeerMessage.FailureReport(
                runs.stream()
                        .map(run -> new PeerMessage.FailedRun(
                                run.suspect(),
                                run.replica(),
                                run.failedMillis() - run.startedMillis(),
                                nowMillis - run.failedMillis(),
                                run.failureId()))
                        .toList(),
                List.of());
    }

    private PeerMessage toReport(List<RequestFingerprint> answered, long answeredMillis) {
        long agoMillis = clock.millis() - answeredMillis;
        return new PeerMessage.FailureReport(
                List.of(),
                answered.stream()
                        .map(suspect -> new PeerMessage.Answered(suspect, agoMillis))
                        .toList());
    }

    private FailedRun toRun(PeerMessage.FailedRun message) {
        long failedMillis = clock.millis() - message.agoMillis();
        return new FailedRun(
                message.suspect(),
                message.replica(),
                failedMillis - message.ranMillis(),
                failedMillis,
                message.failureId());
    }

    /**
     * An entry.
     *
     * @param id its id, not null
     * @param incarnation differs between the processes that run the entry one after the other
     */
    public record Peer(EntryId id, long incarnation) {}

    /** Sends messages to other entries. */
    public interface Peers {

        /**
         * Returns the entries that can be given work.
         *
         * @return those that are considered alive, including this one unless it has left, in an order that changes only
         *     with the members; never null
         */
        List<Peer> usable();

        /**
         * Sends a message to one entry.
         *
         * @param to the receiver, not null; nothing is sent if it is not a known member
         * @param message the message, not null
         */
        void send(EntryId to, PeerMessage message);

        /**
         * Sends a message to all other entries.
         *
         * @param message the message, not null
         */
        void broadcast(PeerMessage message);
    }
}
