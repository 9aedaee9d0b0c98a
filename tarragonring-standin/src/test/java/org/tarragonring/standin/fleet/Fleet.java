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

/**
 * Simulates entries, engines and a platform in one thread on virtual time. All random decisions derive from one seed,
 * so that a run can be reproduced.
 */
final class Fleet {

    static final long BYTES_PER_GIB = 1L << 30;
    static final long MODEL_BYTES = 10 * BYTES_PER_GIB;

    final VirtualTime time = new VirtualTime();
    final InMemoryObjectStore store = new InMemoryObjectStore(time);
    final RecordStore records;
    final Random random;
    final Map<UpstreamId, StandInEngine> engines = new LinkedHashMap<>();
    final Map<UpstreamId, Instance> listedInstances = new LinkedHashMap<>();
    final List<FleetEntry> entries = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final WeightStore weights = new WeightStore(time, time, 4);
    final FleetInvariants invariants = new FleetInvariants(this);
    long platformRequests;
    boolean platformDown;

    /** Whether the store accepts watches and never answers them, so that they end by the time-out of the entry. */
    boolean watchesSilent;

    double responseLossProbability;
    double datagramLossProbability;

    private final Map<HostPort, UpstreamId> engineAddresses = new HashMap<>();
    private long nextId;

    Fleet(long seed) {
        this.random = new Random(seed);
        this.records = new RecordStore(store, () -> "observer-" + nextId++);
    }

    /** Creates a fleet with a published configuration, starts the entries and runs them until they have joined. */
    static Fleet startNew(long seed, int entries, int engines, boolean honoursFence, int models) {
        Fleet fleet = new Fleet(seed);
        for (int i = 0; i < engines; i++) {
            fleet.addEngine(i, 2 * MODEL_BYTES + BYTES_PER_GIB, honoursFence);
        }
        fleet.publish(models, 1);
        for (int i = 0; i < entries; i++) {
            fleet.addEntry("entry-" + i, "domain-" + i % 3).start();
        }
        fleet.runFor(Duration.ofSeconds(5));
        return fleet;
    }

    void addEngine(int index, long acceleratorBytes, boolean honoursFence) {
        UpstreamId id = new UpstreamId("engine-" + index);
        HostPort address = new HostPort("engine-" + index, 1);
        StandInEngine engine = new StandInEngine(
                EngineProfile.withShortDelays(acceleratorBytes, honoursFence), weights, weights, time, time);
        engine.setOvercommitListener(violations::add);
        engines.put(id, engine);
        engineAddresses.put(address, id);
        listedInstances.put(id, new Instance(id, "", address, "domain-" + index % 3, false));
    }

    FleetEntry addEntry(String id, String failureDomain) {
        FleetEntry entry = new FleetEntry(this, id, failureDomain);
        entries.add(entry);
        return entry;
    }

    void publish(int models, int maxReplicas) {
        ConfigRepository repository = new ConfigRepository(store);
        repository
                .publish(
                        repository.head().await().indefinitely(),
                        "publish-" + nextId++,
                        configuration(models, maxReplicas, "v1").objects())
                .await()
                .indefinitely();
    }

    static ConfigSet configuration(int models, int maxReplicas, String version) {
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

    /** Advances the clock in steps of 50 ms and checks the invariants after each step. */
    void runFor(Duration duration) {
        long steps = duration.toMillis() / 50;
        for (long i = 0; i < steps; i++) {
            time.advance(Duration.ofMillis(50));
            invariants.check();
        }
    }

    /** Reports queued calls for a model to an entry's control plane, as the entry's dispatcher does. */
    void reportDemand(FleetEntry entry, ModelName model, int queuedCalls) {
        entry.control().reportDemand(new PeerMessage.Demand(model, queuedCalls, 0, 1));
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

    int startedLoads() {
        return engines.values().stream().mapToInt(StandInEngine::startedLoads).sum();
    }

    /** Returns a client whose requests each count as a step of the entry and may delay load orders. */
    EngineClient connectEngine(FleetEntry entry, HostPort address) {
        StandInEngine engine = engines.get(engineAddresses.get(address));
        return new EngineClient() {
            @Override
            public Uni<EngineStatus> status() {
                return entry.exchange(engine::status);
            }

            @Override
            public Uni<OrderOutcome> order(EngineOrder order) {
                return entry.loadOrderDelay.isZero() || order.kind() != EngineOrder.Kind.LOAD
                        ? entry.exchange(() -> engine.order(order))
                        : entry.sendDelayedOrder(engine, order);
            }
        };
    }

    long newId() {
        return nextId++;
    }
}
