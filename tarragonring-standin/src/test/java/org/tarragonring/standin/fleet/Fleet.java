package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.ObjectKind;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.standin.VirtualTime;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.engine.WeightStore;
import org.tarragonring.standin.platform.InMemoryObjectStore;
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/** Entries, engines and a platform in one thread on a hand-moved clock, with every fault drawn from one seed. */
final class Fleet {

    static final long GIB = 1L << 30;
    static final long MODEL_BYTES = 10 * GIB;

    final VirtualTime time = new VirtualTime();
    final InMemoryObjectStore store = new InMemoryObjectStore(time);
    final RecordStore records;
    final Random random;
    final Map<UpstreamId, StandInEngine> engines = new LinkedHashMap<>();
    final Map<UpstreamId, Instance> listed = new LinkedHashMap<>();
    final List<FleetEntry> entries = new ArrayList<>();
    final List<String> breaches = new ArrayList<>();
    final WeightStore weights = new WeightStore(time, time, 4);
    final Audit audit = new Audit(this);
    long platformRequests;
    boolean platformDown;
    double lostAnswerShare;
    double lostDatagramShare;

    private final Map<HostPort, UpstreamId> engineAddresses = new HashMap<>();
    private long tokens;

    Fleet(long seed) {
        this.random = new Random(seed);
        this.records = new RecordStore(store, () -> "observer-" + tokens++);
    }

    /** Creates a fleet with a published configuration and entries that have joined. */
    static Fleet started(long seed, int entries, int engines, boolean honoursFence, int models) {
        Fleet fleet = new Fleet(seed);
        for (int i = 0; i < engines; i++) {
            fleet.addEngine(i, 2 * MODEL_BYTES + GIB, honoursFence);
        }
        fleet.publish(models, 1);
        for (int i = 0; i < entries; i++) {
            fleet.addEntry("entry-" + i, "domain-" + i % 3).start();
        }
        fleet.run(Duration.ofSeconds(5));
        return fleet;
    }

    void addEngine(int index, long acceleratorBytes, boolean honoursFence) {
        UpstreamId id = new UpstreamId("engine-" + index);
        HostPort address = new HostPort("engine-" + index, 1);
        StandInEngine engine = new StandInEngine(
                EngineProfile.withShortDelays(acceleratorBytes, honoursFence), weights, weights, time, time);
        engine.setOvercommitListener(breaches::add);
        engines.put(id, engine);
        engineAddresses.put(address, id);
        listed.put(id, new Instance(id, "", address, "domain-" + index % 3, false));
    }

    FleetEntry addEntry(String id, String domain) {
        FleetEntry entry = new FleetEntry(this, id, domain);
        entries.add(entry);
        return entry;
    }

    void publish(int models, int maxReplicas) {
        ConfigRepository repository = new ConfigRepository(store);
        repository
                .publish(
                        repository.head().await().indefinitely(),
                        "publish-" + tokens++,
                        objects(models, maxReplicas, "v1").objects())
                .await()
                .indefinitely();
    }

    static ConfigSet objects(int models, int maxReplicas, String version) {
        List<ConfigObject> objects = new ArrayList<>();
        objects.add(new ConfigObject(ObjectKind.CLASS, "chat", Map.of("deadline", "8s")));
        objects.add(new ConfigObject(ObjectKind.TEAM, "team", Map.of("key-sha256", "a".repeat(64))));
        for (int i = 0; i < models; i++) {
            String name = "model-" + i;
            objects.add(new ConfigObject(
                    ObjectKind.VERSION,
                    name + "-" + version,
                    Map.of("model", name, "checkpoint", "weights://" + name)));
            objects.add(new ConfigObject(
                    ObjectKind.MODEL,
                    name,
                    Map.of(
                            "teams", "team",
                            "class", "chat",
                            "version", name + "-" + version,
                            "accelerator-bytes", "10GiB",
                            "calls-per-replica", "4",
                            "max-replicas", Integer.toString(maxReplicas))));
        }
        return ConfigChecker.checkPublished(objects);
    }

    /** Moves the clock in small steps and audits after each. */
    void run(Duration duration) {
        long steps = duration.toMillis() / 50;
        for (long i = 0; i < steps; i++) {
            time.advance(Duration.ofMillis(50));
            audit.check();
        }
    }

    /** Reports demand for a model at an entry, as its dispatcher would. */
    void demand(FleetEntry entry, ModelName model, int queued) {
        entry.control().reportDemand(new PeerMessage.Demand(model, queued, 0, 1));
    }

    boolean isLoaded(ModelName model) {
        return engines.values().stream()
                .anyMatch(engine -> engine.slotsOf(model).stream()
                        .anyMatch(slot -> engine.status()
                                .await()
                                .indefinitely()
                                .find(slot)
                                .orElseThrow()
                                .loaded()));
    }

    int replicas(ModelName model) {
        return engines.values().stream()
                .mapToInt(engine -> engine.slotsOf(model).size())
                .sum();
    }

    int loads() {
        return engines.values().stream().mapToInt(StandInEngine::startedLoads).sum();
    }

    /** Returns a client of an engine that counts as a step of the entry and may lose or delay what it sends. */
    EngineClient connect(FleetEntry entry, HostPort address) {
        StandInEngine engine = engines.get(engineAddresses.get(address));
        return new EngineClient() {
            @Override
            public Uni<EngineStatus> status() {
                return entry.exchange(engine::status);
            }

            @Override
            public Uni<OrderOutcome> order(EngineOrder order) {
                return entry.orderDelay.isZero() || order.kind() != EngineOrder.Kind.LOAD
                        ? entry.exchange(() -> engine.order(order))
                        : entry.lateOrder(engine, order);
            }
        };
    }

    long newToken() {
        return tokens++;
    }
}
