package org.tarragonring.gateway.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.vertx.core.Vertx;
import org.tarragonring.gateway.GatewaySettings;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.orders.PausableStore;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.budget.RetryBudgetSettings;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.routing.CallProfile;
import org.tarragonring.policy.routing.ExpectedCompletion;
import org.tarragonring.policy.routing.PromptPartMemory;
import org.tarragonring.policy.routing.ReplicaLoadView;
import org.tarragonring.policy.routing.ReplicaPicker;
import org.tarragonring.policy.routing.ReplicaSpeeds;
import org.tarragonring.policy.routing.ResponseTimes;
import org.tarragonring.policy.routing.UnevenReplicaPicker;
import org.tarragonring.routing.Ejections;

/** Entries that route calls to simulated replicas by the reports and digests of one planning entry, without network. */
final class FleetSimulation implements AutoCloseable {

    static final ServiceName SERVICE = new ServiceName("service");
    private static final EntryId PLANNING = new EntryId("entry-0");
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final int TICK_MILLIS = 10;
    private static final int REPORT_TICKS = 50;

    final ManualTime time = new ManualTime();
    final Random random;
    final List<SimulatedEngine> engines = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final List<Ended> ended = new ArrayList<>();
    private final boolean plain;
    private final boolean routesBySpeed;
    private final int models;
    private final ReplicaCatalog catalog = new ReplicaCatalog(time, new Ejections(time));
    private final Vertx vertx = Vertx.vertx();
    private final Mesh mesh = new Mesh(settings(), vertx, new PausableStore(), time, time, time, new Random(1));
    double digestLoss;
    int digests;
    ReplicaSpeeds speeds = new ReplicaSpeeds(time);
    private LoadDigestService service;

    FleetSimulation(long seed, int entryCount, List<Double> replicaSpeeds, int models, boolean plain, boolean bySpeed) {
        this.random = new Random(seed);
        this.plain = plain;
        this.routesBySpeed = bySpeed;
        this.models = models;
        replicaSpeeds.forEach(speed -> engines.add(new SimulatedEngine(speed, plain ? 6 : 48)));
        for (int i = 0; i < engines.size(); i++) {
            catalog.put(listed(i));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(i));
        }
        mesh.on(PeerMessage.ReplicaLoadDigest.class, (from, digest) -> {
            digests++;
            entries.stream().filter(entry -> random.nextDouble() >= digestLoss).forEach(entry -> entry.receive(digest));
        });
        startPlanning(entries.get(0));
    }

    /** Starts a planning process on an entry, which knows only what the entry knows from digests. */
    void startPlanning(Entry entry) {
        if (service != null) {
            service.stop();
        }
        speeds = new ReplicaSpeeds(time);
        service = new LoadDigestService(mesh, catalog, entry.view, speeds, name -> plain, time, time);
        service.start();
    }

    /** Runs calls that arrive at random at all entries. */
    void run(Duration duration, double callsPerSecond, List<Kind> kinds) {
        for (long tick = 0; tick < duration.toMillis() / TICK_MILLIS; tick++) {
            for (Entry entry : entries) {
                if (random.nextDouble() < callsPerSecond / entries.size() * TICK_MILLIS / 1_000) {
                    entry.call(kinds.get(random.nextInt(kinds.size())));
                }
            }
            time.advance(Duration.ofMillis(TICK_MILLIS));
            engines.forEach(engine -> engine.advance(TICK_MILLIS));
            for (Entry entry : entries) {
                if (entry.reportsNow || tick % REPORT_TICKS == entry.index % REPORT_TICKS) {
                    entry.report();
                }
            }
        }
    }

    double speedOf(int replica) {
        return speeds.estimate(id(replica)).orElse(1);
    }

    /** Returns the mean number of ended calls of the replicas from one index to before another. */
    double callsPerReplica(int from, int to) {
        return ended.stream().filter(e -> e.replica >= from && e.replica < to).count() / (double) (to - from);
    }

    double busiestToMean() {
        double mean = ended.size() / (double) engines.size();
        double most = 0;
        for (int i = 0; i < engines.size(); i++) {
            most = Math.max(most, callsPerReplica(i, i + 1));
        }
        return most / mean;
    }

    double shareInTime(int from, int to) {
        List<Ended> all =
                ended.stream().filter(e -> e.replica >= from && e.replica < to).toList();
        return all.stream().filter(Ended::inTime).count() / (double) Math.max(1, all.size());
    }

    double meanMillis() {
        return ended.stream().mapToDouble(Ended::millis).average().orElse(0);
    }

    @Override
    public void close() {
        service.stop();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    static UpstreamId id(int replica) {
        return new UpstreamId("replica-" + replica);
    }

    private ListedReplica listed(int index) {
        ModelName model = new ModelName("model-" + index % models);
        return new ListedReplica(
                id(index),
                SERVICE,
                ADDRESS,
                "z" + index / models % 3,
                new SoftwareVersion("v1"),
                plain ? 6 : 48,
                false,
                new ListedReplica.Holdings(1, 0, plain ? Map.of() : Map.of(model, Set.of()), Set.of(), Set.of()));
    }

    private static GatewaySettings settings() {
        return new GatewaySettings(
                PLANNING,
                "z0",
                ADDRESS,
                200,
                ADDRESS,
                "key",
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                true,
                Duration.ofSeconds(8),
                new RetryBudgetSettings(0.2, 50, Duration.ofSeconds(10)));
    }

    /** A kind of call. */
    record Kind(String route, double promptTokens, double output, long objectiveMillis) {}

    /** A call that has ended. */
    record Ended(int replica, long arrivalMillis, double millis, boolean inTime) {}

    /** An entry with its own view of the replicas. */
    final class Entry {

        final int index;
        final ReplicaLoadView view = new ReplicaLoadView(time);
        private final ResponseTimes times = new ResponseTimes();
        private final AttemptTimings timings =
                new AttemptTimings(times, time, (id, ratio) -> reportsNowIf(ratio >= 1.8 || differs(id)));
        private final PromptPartMemory parts = new PromptPartMemory(time);
        private final List<ReplicaState> replicas = new ArrayList<>();
        private final ReplicaPicker evenPicker;
        private final UnevenReplicaPicker unevenPicker;
        private boolean reportsNow;

        Entry(int index) {
            this.index = index;
            String domain = "z" + index % 3;
            evenPicker = new ReplicaPicker(domain, random::nextDouble);
            unevenPicker = new UnevenReplicaPicker(
                    domain, view, new ExpectedCompletion(times), parts, time, random::nextDouble);
            for (int i = 0; i < engines.size(); i++) {
                replicas.add(new ReplicaState(listed(i), time));
            }
        }

        private boolean differs(UpstreamId id) {
            return view.differs(id);
        }

        private void reportsNowIf(boolean urgent) {
            reportsNow |= urgent;
        }

        Optional<ReplicaState> pick(List<ReplicaState> candidates, CallProfile call) {
            Optional<ReplicaState> picked = routesBySpeed ? unevenPicker.pick(candidates, call) : Optional.empty();
            return picked.or(() -> evenPicker.pick(candidates, call.affinityKey()));
        }

        void call(Kind kind) {
            int model = random.nextInt(models);
            List<ReplicaState> candidates = new ArrayList<>();
            for (int i = model; i < replicas.size(); i += models) {
                candidates.add(replicas.get(i));
            }
            CallProfile call = new CallProfile(
                    kind.route,
                    !plain,
                    (long) kind.promptTokens,
                    plain ? 0 : (long) kind.output * 2,
                    List.of(),
                    "",
                    kind.objectiveMillis);
            ReplicaState replica = pick(candidates, call).orElseThrow();
            ModelName modelName = plain ? null : new ModelName("model-" + model);
            replica.callStarted(modelName);
            long startMillis = time.millis();
            AttemptTiming timing = timings.start(
                    replica.id(), call, plain ? AttemptTiming.Kind.PLAIN : AttemptTiming.Kind.MODEL_STREAM, false);
            long[] firstMillis = {-1};
            int engine = replicas.indexOf(replica);
            double output = kind.output * (0.8 + 0.4 * random.nextDouble());
            engines.get(engine)
                    .start(new SimulatedEngine.Run(
                            plain,
                            kind.promptTokens,
                            output,
                            events -> {
                                firstMillis[0] = firstMillis[0] < 0 ? time.millis() : firstMillis[0];
                                timing.onEvents(events, false);
                            },
                            () -> {
                                replica.callEnded(modelName);
                                timing.onEnded(true);
                                long firstEventMillis = plain ? time.millis() : firstMillis[0];
                                ended.add(new Ended(
                                        engine,
                                        startMillis,
                                        time.millis() - startMillis,
                                        firstEventMillis - startMillis <= kind.objectiveMillis));
                            }));
        }

        void report() {
            reportsNow = false;
            Map<UpstreamId, Integer> own = new HashMap<>();
            List<PeerMessage.WeightDemand> demands = new ArrayList<>();
            for (ReplicaState replica : replicas) {
                if (replica.inFlight() > 0) {
                    own.put(replica.id(), replica.inFlight());
                    demands.add(new PeerMessage.WeightDemand(
                            SERVICE.value(),
                            new ModelName("any"),
                            Optional.of(replica.id()),
                            0,
                            replica.inFlight(),
                            0,
                            0));
                }
            }
            view.onReported(own);
            service.onReport(
                    new EntryId("entry-" + index), new PeerMessage.DemandReport(demands, List.of(), timings.drain()));
        }

        void receive(PeerMessage.ReplicaLoadDigest digest) {
            view.onDigest();
            digest.loads().forEach(load -> view.put(load.replicaHash(), load.inFlight(), load.speedPercent()));
        }
    }
}
