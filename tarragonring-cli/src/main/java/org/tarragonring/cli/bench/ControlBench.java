package org.tarragonring.cli.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.operator.Publisher;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.EngineServer;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.engine.WeightStore;
import org.tarragonring.standin.platform.PlatformServer;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.VertxTimers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost per entry of the coordination between entries, with the real protocols over loopback. */
@Command(
        name = "control",
        description = "Measures the traffic, processor time and memory that coordination costs each entry.",
        mixinStandardHelpOptions = true)
final class ControlBench implements Callable<Integer> {

    private static final HostPort LOOPBACK_ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final int IP_AND_UDP_HEADER_BYTES = 28;
    private static final int WARM_UP_SECONDS = 8;
    private static final int PUBLICATION_COUNT = 8;
    private static final int EVENT_LOOPS = 4;
    private static final double BYTES_PER_MIB = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int REPORTING_ENTRIES_PER_MODEL = 3;
    private static final int REPORT_PERIOD_MILLIS = 2000;

    @Option(names = "--entries", paramLabel = "<entries>", description = "the number of entries", defaultValue = "8")
    private int entryCount;

    @Option(names = "--replicas", paramLabel = "<replicas>", description = "the number of engines", defaultValue = "48")
    private int engineCount;

    @Option(names = "--models", paramLabel = "<models>", description = "the number of models", defaultValue = "93")
    private int modelCount;

    @Option(
            names = "--adapters",
            paramLabel = "<adapters>",
            description = "the number of adapters",
            defaultValue = "2700")
    private int adapterCount;

    @Option(
            names = "--active",
            paramLabel = "<activeModels>",
            description = "the number of models for which demand is reported",
            defaultValue = "35")
    private int activeModelCount;

    @Option(
            names = "--domains",
            paramLabel = "<domains>",
            description = "the number of failure domains",
            defaultValue = "7")
    private int failureDomainCount;

    @Option(
            names = "--seconds",
            paramLabel = "<seconds>",
            description = "how long to measure, in seconds",
            defaultValue = "15")
    private int measurementSeconds;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final PlatformServer platform = new PlatformServer(vertx);
    private final List<ControlPlaneEntry> entries = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        HostPort platformAddress = platform.start(LOOPBACK_ANY_PORT)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        publish(0);
        startEngines();
        long heapBytesBefore = HeapUsage.usedBytesAfterGc();
        startEntries(platformAddress);
        long heapBytesPerEntry = (HeapUsage.usedBytesAfterGc() - heapBytesBefore) / entryCount;
        reportDemand();
        Thread.sleep(Duration.ofSeconds(WARM_UP_SECONDS).toMillis());
        print(measure(), heapBytesPerEntry, measurePublications());
        entries.forEach(ControlPlaneEntry::stop);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return 0;
    }

    private void startEngines() {
        VertxTimers timers = new VertxTimers(vertx);
        WeightStore weights = new WeightStore(timers, MonotonicClock.system(), 4);
        for (int i = 0; i < engineCount; i++) {
            StandInEngine engine = new StandInEngine(
                    EngineProfile.withShortDelays(40L << 30, true), weights, weights, timers, MonotonicClock.system());
            HostPort address = new EngineServer(vertx, engine)
                    .start(LOOPBACK_ANY_PORT)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            platform.putInstance(new Instance(
                    new UpstreamId("engine-" + i), "", address, "domain-" + i % failureDomainCount, false));
        }
    }

    /** Starts the entries in groups of 16 and waits until all of them are ready. */
    private void startEntries(HostPort platformAddress) throws InterruptedException {
        WebClient client = WebClient.create(
                vertx,
                new WebClientOptions().setKeepAliveTimeout(60),
                new PoolOptions().setHttp1MaxSize(entryCount * 2 + 8));
        List<CompletableFuture<Void>> entryStarts = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            ControlPlaneEntry entry = new ControlPlaneEntry(vertx, client, platformAddress, i, failureDomainCount);
            entries.add(entry);
            entryStarts.add(entry.start());
            if (i % 16 == 15) {
                entryStarts.forEach(CompletableFuture::join);
            }
        }
        entryStarts.forEach(CompletableFuture::join);
        while (!entries.stream().allMatch(e -> e.controlPlane().isReady())) {
            Thread.sleep(20);
        }
    }

    /** Makes a few entries per active model report running calls, as entries that serve callers do. */
    private void reportDemand() {
        Random random = new Random(1);
        for (int i = 0; i < Math.min(activeModelCount, modelCount); i++) {
            PeerMessage.Demand demand = new PeerMessage.Demand(new ModelName("model-" + i), 0, 8, 4);
            for (int j = 0; j < REPORTING_ENTRIES_PER_MODEL; j++) {
                ControlPlaneEntry entry = entries.get(random.nextInt(entries.size()));
                vertx.setPeriodic(
                        1 + random.nextInt(REPORT_PERIOD_MILLIS),
                        REPORT_PERIOD_MILLIS,
                        id -> entry.controlPlane().reportDemand(demand));
            }
        }
    }

    private Sample measure() throws InterruptedException {
        Sample before = Sample.take(entries, platform);
        Thread.sleep(Duration.ofSeconds(measurementSeconds).toMillis());
        return Sample.take(entries, platform).since(before);
    }

    /**
     * Publishes a few small changes one after the other and returns how long each took until it was active at every
     * entry, in milliseconds in ascending order.
     */
    private List<Double> measurePublications() throws InterruptedException {
        List<Double> publicationMillis = new ArrayList<>();
        for (int i = 1; i <= PUBLICATION_COUNT; i++) {
            long generation = publish(i);
            long startNanos = System.nanoTime();
            while (!entries.stream().allMatch(e -> e.controlPlane().config().generation() >= generation)) {
                Thread.sleep(1);
            }
            publicationMillis.add((System.nanoTime() - startNanos) / 1e6);
        }
        publicationMillis.sort(null);
        return publicationMillis;
    }

    private long publish(int revision) {
        ConfigSet config = SyntheticObjects.of(modelCount, adapterCount, revision);
        return new Publisher(new ConfigRepository(platform.store()))
                .publish(config, OptionalLong.empty(), UUID.randomUUID().toString())
                .await()
                .indefinitely()
                .generation();
    }

    private void print(Sample sample, long heapBytesPerEntry, List<Double> publicationMillis) {
        double elapsedSeconds = sample.elapsedNanos / NANOS_PER_SECOND;
        double entrySeconds = elapsedSeconds * entryCount;
        double udpBytes = sample.sentBytes + (double) IP_AND_UDP_HEADER_BYTES * sample.sentDatagrams;
        System.out.printf(
                "entries=%d replicas=%d models=%d adapters=%d active=%d%n",
                entryCount, engineCount, modelCount, adapterCount, activeModelCount);
        System.out.printf(
                "peer bytes/s per entry: sent %.0f, received %.0f%n", udpBytes / entrySeconds, udpBytes / entrySeconds);
        System.out.printf("peer messages/s per entry: %.2f sent%n", sample.sentDatagrams / entrySeconds);
        System.out.printf(
                "platform and engine bytes/s per entry, in both directions, including TCP headers: %s%n",
                sample.loopbackBytes < 0
                        ? "not available"
                        : "%.0f".formatted((sample.loopbackBytes - udpBytes) / entrySeconds));
        System.out.printf(
                "processor time per entry, including stand-ins: %.3f%% of a core%n",
                100 * sample.cpuNanos / NANOS_PER_SECOND / entrySeconds);
        System.out.printf("retained heap per entry: %.2f MiB%n", heapBytesPerEntry / BYTES_PER_MIB);
        System.out.printf(
                "platform: %.1f reads/s, %.1f writes/s, %d pending watches%n",
                sample.reads / elapsedSeconds,
                sample.writes / elapsedSeconds,
                platform.store().waitingWatches());
        System.out.printf(
                "platform requests since the start by kind: %s%n",
                platform.store().requestsByKind());
        System.out.printf(
                "publish active everywhere, %d times: median %.0f ms, longest %.0f ms%n",
                publicationMillis.size(),
                publicationMillis.get(publicationMillis.size() / 2),
                publicationMillis.get(publicationMillis.size() - 1));
    }

    /** The values of counters at one time, or their differences between two times; loopbackBytes is -1 if unknown. */
    private record Sample(
            long elapsedNanos,
            long cpuNanos,
            long sentBytes,
            long sentDatagrams,
            long loopbackBytes,
            long reads,
            long writes) {

        static Sample take(List<ControlPlaneEntry> entries, PlatformServer platform) {
            com.sun.management.OperatingSystemMXBean system =
                    (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            return new Sample(
                    System.nanoTime(),
                    system.getProcessCpuTime(),
                    entries.stream().mapToLong(e -> e.transport().sentBytes()).sum(),
                    entries.stream()
                            .mapToLong(e -> e.transport().sentDatagrams())
                            .sum(),
                    LoopbackTraffic.sentBytes(),
                    platform.store().reads() + platform.instanceListReads(),
                    platform.store().writes());
        }

        Sample since(Sample before) {
            return new Sample(
                    elapsedNanos - before.elapsedNanos,
                    cpuNanos - before.cpuNanos,
                    sentBytes - before.sentBytes,
                    sentDatagrams - before.sentDatagrams,
                    loopbackBytes < 0 ? -1 : loopbackBytes - before.loopbackBytes,
                    reads - before.reads,
                    writes - before.writes);
        }
    }
}
