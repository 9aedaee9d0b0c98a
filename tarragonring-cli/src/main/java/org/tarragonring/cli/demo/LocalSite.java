package org.tarragonring.cli.demo;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.entry.Entry;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.entry.SettingsFile;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.HttpObjectStore;
import org.tarragonring.objects.Instance;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.operator.IniFileReader;
import org.tarragonring.operator.Publisher;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.EngineServer;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.engine.WeightStore;
import org.tarragonring.standin.platform.PlatformServer;
import org.tarragonring.standin.service.ServiceServer;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.VertxTimers;

/**
 * Runs stand-ins and entries on loopback in one process.
 *
 * @since 0.1.0
 */
public final class LocalSite {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int PARALLEL_LOADS = 4;
    private static final int PARALLEL_ADAPTERS = 30;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final Shape shape;
    private final PlatformServer platform;
    private final Map<String, AtomicInteger> runs = ServiceServer.newRunCounters();
    private final WeightStore weights;
    private final WeightStore adapterWeights;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<ServiceServer> services = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private HostPort platformAddress;

    /**
     * Creates a site that does not run yet.
     *
     * @param vertx runs the site, not null
     * @param shape its sizes, not null
     */
    public LocalSite(Vertx vertx, Shape shape) {
        this.vertx = vertx;
        this.shape = shape;
        this.platform = new PlatformServer(vertx);
        VertxTimers timers = new VertxTimers(vertx);
        this.weights = new WeightStore(timers, MonotonicClock.system(), PARALLEL_LOADS);
        this.adapterWeights = new WeightStore(timers, MonotonicClock.system(), PARALLEL_ADAPTERS);
    }

    /**
     * Starts the stand-ins, publishes object files and starts the entries.
     *
     * @param objectFiles the folder of object files, not null
     * @throws Exception if something does not start
     */
    public void start(Path objectFiles) throws Exception {
        platformAddress = join(platform.start(ANY));
        for (int i = 0; i < shape.engines(); i++) {
            startEngine(i);
        }
        ConfigSet set = ConfigChecker.check(IniFileReader.readObjects(objectFiles));
        for (int i = 0; i < shape.serviceInstances(); i++) {
            startService(i, set);
        }
        publish(set);
        List<CompletableFuture<Void>> starting = new ArrayList<>();
        for (int i = 0; i < shape.entries(); i++) {
            Entry entry = new Entry(vertx, settings(i).toSettings());
            entries.add(entry);
            starting.add(entry.start());
        }
        starting.forEach(CompletableFuture::join);
        while (!entries.stream().allMatch(Entry::isReady)) {
            Thread.sleep(10);
        }
    }

    /**
     * Publishes a set of objects.
     *
     * @param set the checked set, not null
     */
    public void publish(ConfigSet set) {
        HttpObjectStore store = new HttpObjectStore(WebClient.create(vertx), platformAddress, PLATFORM_TIMEOUT);
        new Publisher(new ConfigRepository(store))
                .publish(set, OptionalLong.empty(), UUID.randomUUID().toString())
                .await()
                .indefinitely();
    }

    /** Shuts the entries down gracefully and stops the stand-ins. */
    public void stop() {
        entries.stream().map(Entry::shutDown).toList().forEach(CompletableFuture::join);
        List<Future<Void>> stopping = new ArrayList<>();
        engines.forEach(e -> stopping.add(e.stop()));
        services.forEach(s -> stopping.add(s.stop()));
        stopping.add(platform.stop());
        stopping.forEach(LocalSite::join);
    }

    /**
     * Returns the entries.
     *
     * @return the entries in the order of their start
     */
    public List<Entry> entries() {
        return entries;
    }

    /**
     * Returns the engines.
     *
     * @return the engines
     */
    public List<EngineServer> engines() {
        return engines;
    }

    /**
     * Returns the plain service instances.
     *
     * @return the instances
     */
    public List<ServiceServer> services() {
        return services;
    }

    /**
     * Returns the platform.
     *
     * @return the server, never null
     */
    public PlatformServer platform() {
        return platform;
    }

    /**
     * Returns the weight store.
     *
     * @return the store, never null
     */
    public WeightStore weights() {
        return weights;
    }

    /**
     * Returns how often each idempotency key ran.
     *
     * @return counts by key
     */
    public Map<String, AtomicInteger> runs() {
        return runs;
    }

    private void startEngine(int index) {
        VertxTimers timers = new VertxTimers(vertx);
        StandInEngine engine =
                new StandInEngine(shape.engineProfile(), weights, adapterWeights, timers, MonotonicClock.system());
        EngineServer server = new EngineServer(vertx, engine);
        HostPort address = join(server.start(ANY));
        engines.add(server);
        platform.putInstance(new Instance(new UpstreamId("engine-" + index), "", address, domain(index), false));
    }

    private void startService(int index, ConfigSet set) {
        ServiceServer server = new ServiceServer(vertx, runs, Duration.ofMillis(5));
        HostPort address = join(server.start(ANY));
        services.add(server);
        set.services()
                .forEach(service -> platform.putInstance(new Instance(
                        new UpstreamId(service.name() + "-" + index), service.name(), address, domain(index), false)));
    }

    private SettingsFile settings(int index) {
        Map<SettingKey, String> given = new HashMap<>(shape.settings());
        given.put(SettingKey.ID, "entry-" + index);
        given.put(SettingKey.FAILURE_DOMAIN, domain(index));
        given.put(SettingKey.CALLER_ADDRESS, ANY.toString());
        given.put(SettingKey.PEER_ADDRESS, ANY.toString());
        given.put(SettingKey.PEER_KEY, "local-site");
        given.put(SettingKey.PLATFORM_ADDRESS, platformAddress.toString());
        return SettingsFile.of(given);
    }

    private String domain(int index) {
        return "domain-" + index % shape.failureDomains();
    }

    private static <T> T join(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    /**
     * The sizes of a local site.
     *
     * @param entries the number of entries
     * @param failureDomains the number of failure domains
     * @param engines the number of model engines
     * @param serviceInstances the number of instances of each plain service
     * @param engineProfile how the engines behave, not null
     * @param settings the entries' settings that differ from the defaults, not null
     */
    public record Shape(
            int entries,
            int failureDomains,
            int engines,
            int serviceInstances,
            EngineProfile engineProfile,
            Map<SettingKey, String> settings) {

        /** Copies the settings. */
        public Shape {
            settings = Map.copyOf(settings);
        }
    }
}
