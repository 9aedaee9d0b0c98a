package org.tarragonring.gateway.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.planning.PlainCallDemand;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.routing.CallProfile;
import org.tarragonring.policy.routing.ExpectedCompletion;
import org.tarragonring.policy.routing.PromptPartMemory;
import org.tarragonring.policy.routing.ReplicaLoadView;
import org.tarragonring.policy.routing.ReplicaPicker;
import org.tarragonring.policy.routing.ReplicaSpeeds;
import org.tarragonring.policy.routing.ResponseTimes;
import org.tarragonring.policy.routing.UnevenReplicaPicker;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Routes calls where replicas differ in speed: observes this entry's calls, reports them to the planning entry, and selects
 * replicas by what that entry tells of the load and speed over all entries.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class UnevenRouting {

    /** A call of a plain service that takes this many times as long as usual is reported at once. */
    private static final double URGENT_RATIO = 1.8;

    private final ReplicaCatalog catalog;
    private final Mesh mesh;
    private final ReplicaLoadView view;
    private final ReplicaSpeeds speeds;
    private final PromptPartMemory promptParts;
    private final AttemptTimings timings;
    private final ReplicaPicker evenPicker;
    private final UnevenReplicaPicker unevenPicker;
    private final LoadDigestService digests;
    private final GatewayMetrics metrics;
    private Runnable onUrgent = () -> {};

    /**
     * Creates an instance that is not started.
     *
     * @param ownDomain the failure domain of this entry, not null
     * @param mesh the connection to the other entries, not null
     * @param catalog the known replicas, not null
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param clock the monotonic clock, not null
     * @param timers runs periodic tasks, not null
     * @param random returns random numbers from 0 to 1, not null
     * @param metrics records metrics of the selection, not null
     */
    public UnevenRouting(
            String ownDomain,
            Mesh mesh,
            ReplicaCatalog catalog,
            Supplier<Optional<ServingConfig>> config,
            MonotonicClock clock,
            Timers timers,
            DoubleSupplier random,
            GatewayMetrics metrics) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.view = new ReplicaLoadView(clock);
        this.speeds = new ReplicaSpeeds(clock);
        this.promptParts = new PromptPartMemory(clock);
        ResponseTimes times = new ResponseTimes();
        this.timings = new AttemptTimings(times, clock, this::onPlainSample);
        this.evenPicker = new ReplicaPicker(ownDomain, random);
        this.unevenPicker =
                new UnevenReplicaPicker(ownDomain, view, new ExpectedCompletion(times), promptParts, clock, random);
        this.digests = new LoadDigestService(
                mesh, catalog, view, speeds, service -> isPlain(config.get(), service), clock, timers);
        metrics.registerGauge("tarragonring.replicas.speed.spread", digests::largestSpread);
        metrics.registerGauge("tarragonring.replicas.digest.age.ms", view::digestAgeMillis);
    }

    private static boolean isPlain(Optional<ServingConfig> config, ServiceName service) {
        return config.flatMap(current -> current.findService(service))
                .filter(spec -> spec.engine().isEmpty())
                .isPresent();
    }

    /** Starts to receive digests, and to send them while this entry plans. */
    public void start() {
        mesh.on(PeerMessage.ReplicaLoadDigest.class, (from, digest) -> onDigest(digest));
        digests.start();
    }

    /** Stops sending digests. */
    public void stop() {
        digests.stop();
    }

    /**
     * Sets the action that runs when observations are to be reported at once.
     *
     * @param action reports them, not null
     */
    public void onUrgent(Runnable action) {
        onUrgent = Objects.requireNonNull(action, "action");
    }

    /**
     * Handles the demand report of an entry.
     *
     * @param from the reporting entry, not null
     * @param report the report, not null
     */
    public void onReport(EntryId from, PeerMessage.DemandReport report) {
        digests.onReport(from, report);
    }

    /**
     * Returns the speed by which to decide at the planning entry.
     *
     * @param replica the replica, not null
     * @return the speed relative to the median of its service; 1 if it is not known, if the replicas do not differ, or at
     *     an entry that does not plan
     */
    public double speedOf(UpstreamId replica) {
        return speeds.speedOf(replica);
    }

    /**
     * Selects the replica for a call.
     *
     * @param candidates the replicas that can run the call, not null
     * @param call the call, not null
     * @return the replica, empty if there are no candidates
     */
    public Optional<ReplicaState> pick(List<ReplicaState> candidates, CallProfile call) {
        Optional<ReplicaState> usual = evenPicker.pick(candidates, call.affinityKey());
        Optional<ReplicaState> picked = unevenPicker.pick(candidates, call);
        if (picked.isEmpty()) {
            return usual;
        }
        if (!picked.equals(usual)) {
            metrics.countUnevenPick();
        }
        return picked;
    }

    /**
     * Starts to observe an attempt that is sent now.
     *
     * @param process the process that gets it, not null
     * @param call the call, not null
     * @param kind what can be observed, not null
     * @return the observation, never null
     */
    public AttemptTiming onSent(ReplicaProcess process, CallProfile call, AttemptTiming.Kind kind) {
        // Another entry may have sent the shared parts there, too; only a prompt without any is certainly not cached.
        boolean mayBeCached = call.promptParts().size() > 1 || promptParts.cachedParts(call.promptParts(), process) > 0;
        promptParts.onSent(call.promptParts(), process);
        return timings.start(process.replica(), call, kind, mayBeCached);
    }

    /**
     * Returns the observations since the last report, and removes them.
     *
     * @return the timings for the next report, never null
     */
    public List<PeerMessage.ReplicaTiming> drainTimings() {
        return timings.drain();
    }

    /**
     * Returns the calls in flight that need no model, for a report that is sent now.
     *
     * @return the demand for each replica with such calls, never null
     */
    public List<PeerMessage.WeightDemand> plainDemands() {
        List<PeerMessage.WeightDemand> demands = new ArrayList<>();
        Map<UpstreamId, Integer> ownCalls = new HashMap<>();
        for (ReplicaState replica : catalog.all()) {
            if (replica.inFlight() > 0) {
                ownCalls.put(replica.id(), replica.inFlight());
                int modelCalls = replica.inFlightByModel().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                if (replica.inFlight() > modelCalls) {
                    demands.add(PlainCallDemand.of(
                            replica.listed().service(), replica.id(), replica.inFlight() - modelCalls));
                }
            }
        }
        view.onReported(ownCalls);
        return demands;
    }

    private void onDigest(PeerMessage.ReplicaLoadDigest digest) {
        view.onDigest();
        digest.loads().forEach(load -> view.put(load.replicaHash(), load.inFlight(), load.speedPercent()));
    }

    private void onPlainSample(UpstreamId replica, double ratio) {
        if (ratio >= URGENT_RATIO || view.differs(replica)) {
            onUrgent.run();
        }
    }
}
