package org.tarragonring.gateway.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.planning.PlanningService;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.routing.DigestSelection;
import org.tarragonring.policy.routing.FleetLoad;
import org.tarragonring.policy.routing.ReplicaLoadView;
import org.tarragonring.policy.routing.ReplicaSpeeds;
import org.tarragonring.policy.routing.SpeedRule;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * At the planning entry: estimates the speeds of replicas from the reports of all entries, and tells all entries the load
 * and speed of the replicas of those services whose replicas differ. Where none differ, nothing is sent.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
final class LoadDigestService {

    /** The interval between digests in fleets of up to 150 entries. */
    private static final Duration MIN_DIGEST_PERIOD = Duration.ofMillis(250);

    /**
     * Bounds the processor time of the planning entry: at 380 entries digests come every 633 ms, so that one may be lost
     * before the last one is too old.
     */
    private static final int MAX_DATAGRAMS_PER_SECOND = 600;

    /** The minimum time between two digests that are sent because of slow calls of a plain service. */
    private static final Duration MIN_DIGEST_INTERVAL = Duration.ofMillis(100);

    /** What an entry may receive in digests. */
    private static final int MAX_BYTES_PER_SECOND = 2_000;

    /** Headers of IP and UDP, and what a datagram holds besides its message. */
    private static final int DATAGRAM_OVERHEAD_BYTES = 130;

    private static final int BYTES_PER_REPLICA = 12;

    /** What fits into one datagram of 8,192 bytes, with room for membership updates. */
    private static final int MAX_REPLICAS = 400;

    /** How often an entry that does not plan checks whether it has to. A report makes it check at once. */
    private static final Duration DUTY_CHECK_PERIOD = Duration.ofMillis(500);

    /** How long entries are told after the replicas of a service no longer differ; a digest may be lost. */
    private static final Duration END_NOTICE = Duration.ofSeconds(2);

    /** How long a change between different and equal is not logged after another one of the same service. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Mesh mesh;
    private final ReplicaCatalog catalog;
    private final ReplicaLoadView view;
    private final ReplicaSpeeds speeds;
    private final Predicate<ServiceName> isPlain;
    private final MonotonicClock clock;
    private final Timers timers;
    private final FleetLoad fleetLoad;
    private final DigestSelection selection;
    private final Map<UpstreamId, ReplicaProcess> processes = new HashMap<>();
    private final Map<ServiceName, Long> differedMillis = new HashMap<>();
    private final Map<ServiceName, Long> loggedMillis = new HashMap<>();
    private boolean planning;
    private boolean stopped;
    private boolean digestScheduled;
    private long lastDigestMillis;
    private Timers.Task nextPeriod = () -> {};

    LoadDigestService(
            Mesh mesh,
            ReplicaCatalog catalog,
            ReplicaLoadView view,
            ReplicaSpeeds speeds,
            Predicate<ServiceName> isPlain,
            MonotonicClock clock,
            Timers timers) {
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.view = Objects.requireNonNull(view, "view");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.isPlain = Objects.requireNonNull(isPlain, "isPlain");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.fleetLoad = new FleetLoad(clock);
        this.selection = new DigestSelection(clock);
    }

    void start() {
        lastDigestMillis = clock.millis();
        onPeriod();
    }

    void stop() {
        stopped = true;
        nextPeriod.cancel();
    }

    /** Adds the report of an entry. */
    void onReport(EntryId from, PeerMessage.DemandReport report) {
        if (!planning) {
            checkDuty();
        }
        if (!planning) {
            return;
        }
        Map<UpstreamId, Integer> running = new HashMap<>();
        report.demands()
                .forEach(demand ->
                        demand.replica().ifPresent(replica -> running.merge(replica, demand.running(), Integer::sum)));
        fleetLoad.addReport(from, running);
        for (PeerMessage.ReplicaTiming timing : report.timings()) {
            catalog.find(timing.replica()).ifPresent(replica -> record(replica, timing));
        }
    }

    private void record(ReplicaState replica, PeerMessage.ReplicaTiming timing) {
        ServiceName service = replica.listed().service();
        SpeedRule rule = rule(service);
        forgetIfRestarted(replica);
        speeds.record(service, rule, replica.id(), fleetLoad.load(replica.id()), timing.samples(), timing.ratio());
        // Slow periods of plain services last only two or three digest periods.
        if (rule == SpeedRule.PLAIN && (update(service) || speeds.differ(service))) {
            digestSoon();
        }
    }

    private SpeedRule rule(ServiceName service) {
        return isPlain.test(service) ? SpeedRule.PLAIN : SpeedRule.ENGINE;
    }

    private void forgetIfRestarted(ReplicaState replica) {
        ReplicaProcess known = processes.put(replica.id(), replica.process());
        if (known != null && !known.isSameAs(replica.process())) {
            speeds.forget(replica.id());
        }
    }

    private void forgetRemoved() {
        List<UpstreamId> removed = processes.keySet().stream()
                .filter(replica -> catalog.find(replica).isEmpty())
                .toList();
        removed.forEach(replica -> {
            processes.remove(replica);
            speeds.forget(replica);
        });
    }

    private void checkDuty() {
        boolean isPlanner = mesh.entryFor(PlanningService.DUTY).equals(mesh.self());
        if (isPlanner == planning) {
            return;
        }
        planning = isPlanner;
        fleetLoad.clear();
        speeds.clear();
        processes.clear();
        differedMillis.clear();
        if (planning) {
            guessSpeeds();
        }
    }

    /** Takes over what the previous planning entry told, so that its loss does not make slow replicas count as fast. */
    private void guessSpeeds() {
        for (ReplicaState replica : catalog.all()) {
            ServiceName service = replica.listed().service();
            view.lastSpeed(replica.id()).ifPresent(speed -> {
                processes.put(replica.id(), replica.process());
                speeds.guess(service, rule(service), replica.id(), speed);
            });
        }
    }

    private void onPeriod() {
        checkDuty();
        if (planning) {
            fleetLoad.expire();
            forgetRemoved();
            speeds.services().forEach(this::update);
            sendDigest();
        }
        if (!stopped) {
            nextPeriod = timers.schedule(planning ? period() : DUTY_CHECK_PERIOD, this::onPeriod);
        }
    }

    /** Returns the shortest interval between digests with which the number of datagrams stays within its bound. */
    private long boundedMillis() {
        return (long) (mesh.alive().size() * MILLIS_PER_SECOND / MAX_DATAGRAMS_PER_SECOND);
    }

    private Duration period() {
        return Duration.ofMillis(Math.max(MIN_DIGEST_PERIOD.toMillis(), boundedMillis()));
    }

    private void digestSoon() {
        if (digestScheduled || stopped) {
            return;
        }
        digestScheduled = true;
        long intervalMillis = Math.max(MIN_DIGEST_INTERVAL.toMillis(), boundedMillis());
        long delayMillis = lastDigestMillis + intervalMillis - clock.millis();
        timers.schedule(Duration.ofMillis(Math.max(1, delayMillis)), () -> {
            digestScheduled = false;
            if (planning) {
                sendDigest();
            }
        });
    }

    /** Decides whether the replicas of a service differ, and returns whether this has changed. */
    private boolean update(ServiceName service) {
        int listed = catalog.serving(service).size();
        boolean changed = speeds.update(service, listed);
        boolean differ = speeds.differ(service);
        if (differ) {
            differedMillis.put(service, clock.millis());
        }
        Long lastLogMillis = loggedMillis.get(service);
        if (changed && (lastLogMillis == null || clock.millis() - lastLogMillis >= LOG_INTERVAL.toMillis())) {
            loggedMillis.put(service, clock.millis());
            String spread = String.format(Locale.ROOT, "%.2f", speeds.spread(service));
            (differ ? LogEvent.REPLICAS_UNEVEN : LogEvent.REPLICAS_EVEN).log(service, spread, listed);
        }
        return changed;
    }

    private void sendDigest() {
        List<DigestSelection.Item> items = new ArrayList<>();
        for (ReplicaState replica : catalog.all()) {
            ServiceName service = replica.listed().service();
            Long differed = differedMillis.get(service);
            if (differed != null && clock.millis() - differed <= END_NOTICE.toMillis()) {
                forgetIfRestarted(replica);
                items.add(item(replica.id(), speeds.differ(service)));
            }
        }
        if (items.isEmpty()) {
            return;
        }
        double seconds = Math.min(1, (clock.millis() - lastDigestMillis) / MILLIS_PER_SECOND);
        int limit = (int) ((MAX_BYTES_PER_SECOND * seconds - DATAGRAM_OVERHEAD_BYTES) / BYTES_PER_REPLICA);
        lastDigestMillis = clock.millis();
        List<PeerMessage.ReplicaLoad> loads =
                selection.select(items, Math.max(3, Math.min(MAX_REPLICAS, limit))).stream()
                        .map(item -> new PeerMessage.ReplicaLoad(
                                ReplicaLoadView.hash(item.replica()), item.inFlight(), item.speedPercent()))
                        .toList();
        PeerMessage.ReplicaLoadDigest digest = new PeerMessage.ReplicaLoadDigest(loads);
        mesh.broadcast(digest);
        mesh.send(mesh.self(), digest);
    }

    private DigestSelection.Item item(UpstreamId replica, boolean differ) {
        int speedPercent = (int) Math.max(1, Math.round(speeds.speedOf(replica) * PERCENT));
        return new DigestSelection.Item(replica, fleetLoad.load(replica), differ ? speedPercent : 0);
    }

    /** Returns the largest spread of speed among the replicas of one service, 1 if this entry does not plan. */
    double largestSpread() {
        return speeds.services().stream().mapToDouble(speeds::spread).max().orElse(1);
    }
}
