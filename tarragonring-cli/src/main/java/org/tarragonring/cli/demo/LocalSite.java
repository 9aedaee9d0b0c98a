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
 * Runs entries, and stand-ins for the platform, the engines and the plain services, on loopback in one process.
 *
 * @since 0.1.0
 */
public final class LocalSite {

    private static final HostPort LOOPBACK_ANY_PORT = new HostPort("127.0.0.1", 0);
    /** The number of concurrent transfers of model weights that the weight store runs at full speed. */
    private static final int FULL_SPEED_MODEL_TRANSFERS = 4;
    /** The number of concurrent transfers of adapters that the weight store runs at full speed. */
    private static final int FULL_SPEED_ADAPTER_TRANSFERS = 30;

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final Options options;
    private final PlatformServer platform;
    private final Map<String, AtomicInteger> runsByKey = ServiceServer.newRunCounters();
    private final WeightStore weights;
    private final WeightStore adapterWeights;
    private final List<EngineServer> engines = new ArrayList<>();
    private final List<ServiceServer> services = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private HostPort platformAddress;

    /**
     * Creates a site without starting it.
     *
     * @param vertx the Vert.x instance on which all servers and clients run, not null
     * @param options the sizes and settings of the site, not null
     */
    public LocalSite(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.options = options;
        this.platform = new PlatformServer(vertx);
        VertxTimers timers = new VertxTimers(vertx);
        this.weights = new WeightStore(timers, MonotonicClock.system(), FULL_SPEED_MODEL_TRANSFERS);
        this.adapterWeights = new WeightStore(timers, MonotonicClock.system(), FULL_SPEED_ADAPTER_TRANSFERS);
    }

    /**
     * Starts the stand-ins, publishes the object files, starts the entries and waits until all of them are ready.
     *
     * @param objectFolder the folder of object files, not null
     * @throws Exception if the object files are invalid or a server or entry does not start
     */
    public void start(Path objectFolder) throws Exception {
        platformAddress = join(platform.start(LOOPBACK_ANY_PORT));
        for (int i = 0; i < options.engines(); i++) {
            startEngine(i);
        }
        ConfigSet config = ConfigChecker.check(IniFileReader.readObjects(objectFolder));
        for (int i = 0; i < options.serviceInstances(); i++) {
            startService(i, config);
        }
        publish(config);
        List<CompletableFuture<Void>> entryStarts = new ArrayList<>();
        for (int i = 0; i < options.entries(); i++) {
            Entry entry = new Entry(vertx, settingsOf(i).toSettings());
            entries.add(entry);
            entryStarts.add(entry.start());
        }
        entryStarts.forEach(CompletableFuture::join);
        while (!entries.stream().allMatch(Entry::isReady)) {
            Thread.sleep(10);
        }
    }

    /**
     * Publishes a configuration and waits until it is stored. The entries activate it later.
     *
     * @param config the checked configuration, not null
     */
    public void publish(ConfigSet config) {
        HttpObjectStore store = new HttpObjectStore(WebClient.create(vertx), platformAddress, PLATFORM_TIMEOUT);
        new Publisher(new ConfigRepository(store))
                .publish(config, OptionalLong.empty(), UUID.randomUUID().toString())
                .await()
                .indefinitely();
    }

    /** Shuts the entries down gracefully, then stops the stand-ins. Returns when all have stopped. */
    public void stop() {
        entries.stream().map(Entry::shutDown).toList().forEach(CompletableFuture::join);
        List<Future<Void>> stops = new ArrayList<>();
        engines.forEach(e -> stops.add(e.stop()));
        services.forEach(s -> stops.add(s.stop()));
        stops.add(platform.stop());
        stops.forEach(LocalSite::join);
    }

    /**
     * Returns the entries.
     *
     * @return the entries, in the order in which they were started; never null
     */
    public List<Entry> entries() {
        return entries;
    }

    /**
     * Returns the stand-ins for the engines.
     *
     * @return the servers, never null
     */
    public List<EngineServer> engines() {
        return engines;
    }

    /**
     * Returns the stand-ins for the instances of the plain services. Each stands for one instance of every service.
     *
     * @return the servers, never null
     */
    public List<ServiceServer> services() {
        return services;
    }

    /**
     * Returns the stand-in for the platform.
     *
     * @return the server, never null
     */
    public PlatformServer platform() {
        return platform;
    }

    /**
     * Returns the weight store from which the engines load models.
     *
     * @return the store, never null
     */
    public WeightStore weights() {
        return weights;
    }

    /**
     * Returns how often the plain services ran a request with each idempotency key.
     *
     * @return the number of runs by key, updated while the site runs; never null
     */
    public Map<String, AtomicInteger> runsByKey() {
        return runsByKey;
    }

    private void startEngine(int index) {
        VertxTimers timers = new VertxTimers(vertx);
        StandInEngine engine =
                new StandInEngine(options.engineProfile(), weights, adapterWeights, timers, MonotonicClock.system());
        EngineServer server = new EngineServer(vertx, engine);
        HostPort address = join(server.start(LOOPBACK_ANY_PORT));
        engines.add(server);
        platform.putInstance(new Instance(new UpstreamId("engine-" + index), "", address, failureDomain(index), false));
    }

    private void startService(int index, ConfigSet config) {
        ServiceServer server = new ServiceServer(vertx, runsByKey, Duration.ofMillis(5));
        HostPort address = join(server.start(LOOPBACK_ANY_PORT));
        services.add(server);
        config.services()
                .forEach(service -> platform.putInstance(new Instance(
                        new UpstreamId(service.name() + "-" + index),
                        service.name(),
                        address,
                        failureDomain(index),
                        false)));
    }

    private SettingsFile settingsOf(int index) {
        Map<SettingKey, String> settings = new HashMap<>(options.settings());
        settings.put(SettingKey.ID, "entry-" + index);
        settings.put(SettingKey.FAILURE_DOMAIN, failureDomain(index));
        settings.put(SettingKey.CALLER_ADDRESS, LOOPBACK_ANY_PORT.toString());
        settings.put(SettingKey.PEER_ADDRESS, LOOPBACK_ANY_PORT.toString());
        settings.put(SettingKey.PEER_KEY, "local-site");
        settings.put(SettingKey.PLATFORM_ADDRESS, platformAddress.toString());
        return SettingsFile.of(settings);
    }

    private String failureDomain(int index) {
        return "domain-" + index % options.failureDomains();
    }

    private static <T> T join(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Holds the sizes and settings of a local site.
     *
     * @param entries the number of entries
     * @param failureDomains the number of failure domains
     * @param engines the number of engines
     * @param serviceInstances the number of instances of each plain service
     * @param engineProfile the memory and timing of the engines, not null
     * @param settings the entries' settings that differ from the defaults, not null
     */
    public record Options(
            int entries,
            int failureDomains,
            int engines,
            int serviceInstances,
            EngineProfile engineProfile,
            Map<SettingKey, String> settings) {

        /** Makes an immutable copy of the settings. */
        public Options {
            settings = Map.copyOf(settings);
        }
    }
}
