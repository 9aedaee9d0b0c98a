package org.tarragonring.cli.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.smallrye.mutiny.Uni;
import org.tarragonring.cli.demo.Site;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.dispatch.DispatchContext;
import org.tarragonring.dispatch.DispatchLimits;
import org.tarragonring.dispatch.ModelDispatchers;
import org.tarragonring.entry.Clocks;
import org.tarragonring.entry.ControlPlane;
import org.tarragonring.entry.EntrySettings;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.entry.SettingsFile;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.peer.Datagram;
import org.tarragonring.placement.IdlePolicy;
import org.tarragonring.placement.Invariants;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.TargetPicker;
import org.tarragonring.standin.VirtualTime;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.engine.WeightStore;
import org.tarragonring.standin.platform.FaultyObjectStore;
import org.tarragonring.standin.platform.FaultyObjectStore.Fault;
import org.tarragonring.standin.platform.InMemoryObjectStore;
import org.tarragonring.time.Delays;
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;
import org.tarragonring.upstream.UpstreamDirectory;

/** A site's control planes and dispatchers over stand-in engines, on a hand-moved clock. */
final class VirtualSite {

    static final int ENTRIES = 8;

    private static final Duration NETWORK_DELAY = Duration.ofNanos(500_000);
    private static final Duration STORE_DELAY = Duration.ofMillis(1);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long ACCELERATOR_BYTES = 40L << 30;
    private static final int PARALLEL_LOADS = 4;
    private static final int PARALLEL_ADAPTERS = 30;
    private static final EngineProfile ENGINE = new EngineProfile(
            ACCELERATOR_BYTES,
            true,
            Duration.ofMillis(60),
            Duration.ofMillis(250),
            Duration.ofMillis(170),
            Duration.ofMillis(7),
            Duration.ofMillis(40),
            Duration.ofMillis(80),
            Duration.ofMillis(25));

    private final VirtualTime time = new VirtualTime();
    private final InMemoryObjectStore store = new InMemoryObjectStore(time);
    private final WeightStore weights = new WeightStore(time, time, PARALLEL_LOADS);
    private final WeightStore adapterWeights = new WeightStore(time, time, PARALLEL_ADAPTERS);
    private final Map<UpstreamId, StandInEngine> engines = new HashMap<>();
    private final Map<HostPort, StandInEngine> byAddress = new HashMap<>();
    private final List<Instance> listed = new ArrayList<>();
    private final List<ControlPlane> controls = new ArrayList<>();
    private final List<ModelDispatchers> dispatchers = new ArrayList<>();
    private final Site site;
    private final IdlePolicy policy;
    private final boolean entriesTalk;

    VirtualSite(Site site, IdlePolicy policy, boolean entriesTalk) {
        this.site = site;
        this.policy = policy;
        this.entriesTalk = entriesTalk;
    }

    /** Publishes a set, starts the entries and lets them join. */
    void start(ConfigSet set) {
        for (int i = 0; i < site.engines(); i++) {
            addEngine(i);
        }
        new ConfigRepository(store)
                .publish(Optional.empty(), "bench", set.objects())
                .await()
                .indefinitely();
        for (int i = 0; i < ENTRIES; i++) {
            addEntry(i);
        }
        time.advance(Duration.ofSeconds(10));
    }

    VirtualTime time() {
        return time;
    }

    ModelDispatchers dispatchers(int entry) {
        return dispatchers.get(entry);
    }

    StandInEngine engine(UpstreamId upstream) {
        return engines.get(upstream);
    }

    List<StandInEngine> engines() {
        return List.copyOf(engines.values());
    }

    private void addEngine(int index) {
        UpstreamId id = new UpstreamId("engine-" + index);
        HostPort address = new HostPort(id.value(), 1);
        StandInEngine engine = new StandInEngine(ENGINE, weights, adapterWeights, time, time);
        engines.put(id, engine);
        byAddress.put(address, engine);
        listed.add(new Instance(id, "", address, domain(index), false));
    }

    private void addEntry(int index) {
        Random random = new Random(index);
        Ejections ejections = new Ejections(time);
        UpstreamDirectory directory =
                new UpstreamDirectory(() -> Uni.createFrom().item(listed), address -> delayed(byAddress.get(address)));
        List<ModelDispatchers> own = new ArrayList<>();
        ControlPlane control = new ControlPlane(
                settings(index),
                new FaultyObjectStore(store, time, () -> new Fault(Fault.Kind.NONE, STORE_DELAY, STORE_DELAY)),
                new Clocks(time, time),
                time,
                this::send,
                directory,
                Runnable::run,
                random,
                policy,
                new Invariants(breach -> {
                    throw new IllegalStateException(breach);
                }),
                placement -> own.get(0).getOrCreate(placement.model()).onPlacement(placement),
                notice -> {});
        own.add(new ModelDispatchers(new DispatchContext(
                time,
                new TargetPicker(random),
                ejections,
                directory::acceptsNewWork,
                upstream -> "domain",
                control::report,
                DispatchLimits.DEFAULT)));
        controls.add(control);
        dispatchers.add(own.get(0));
        control.start(new HostPort("entry-" + index, 2), new HostPort("entry-" + index, 1))
                .subscribe()
                .with(done -> {}, failure -> {
                    throw new IllegalStateException(failure);
                });
        time.scheduleWithFixedDelay(TICK, own.get(0)::tick);
    }

    private void send(HostPort to, Datagram datagram) {
        if (!entriesTalk) {
            return;
        }
        int index = Integer.parseInt(to.host().substring("entry-".length()));
        time.schedule(NETWORK_DELAY, () -> controls.get(index).receive(datagram));
    }

    private EngineClient delayed(StandInEngine engine) {
        Delays delays = new Delays(time);
        return new EngineClient() {
            @Override
            public Uni<EngineStatus> status() {
                return delays.after(NETWORK_DELAY).chain(ignored -> engine.status());
            }

            @Override
            public Uni<OrderOutcome> order(EngineOrder order) {
                return delays.after(NETWORK_DELAY).chain(ignored -> engine.order(order));
            }
        };
    }

    private EntrySettings settings(int index) {
        return SettingsFile.of(Map.of(
                        SettingKey.ID,
                        "entry-" + index,
                        SettingKey.FAILURE_DOMAIN,
                        domain(index),
                        SettingKey.CALLER_ADDRESS,
                        "entry-" + index + ":2",
                        SettingKey.PEER_ADDRESS,
                        "entry-" + index + ":1",
                        SettingKey.PEER_KEY,
                        "bench",
                        SettingKey.PLATFORM_ADDRESS,
                        "platform:1"))
                .toSettings();
    }

    private String domain(int index) {
        return "domain-" + index % site.failureDomains();
    }
}
