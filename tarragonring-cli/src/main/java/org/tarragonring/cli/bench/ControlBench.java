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

/** Measures what acting together costs an entry, with the real protocol over loopback. */
@Command(
        name = "control",
        description = "Measures what acting together costs an entry.",
        mixinStandardHelpOptions = true)
final class ControlBench implements Callable<Integer> {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int UDP_HEADER_BYTES = 28;
    private static final int WARM_UP_SECONDS = 8;
    private static final int PUBLISHES = 8;
    private static final int EVENT_LOOPS = 4;
    private static final double MIB = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int REPORTING_ENTRIES = 3;
    private static final int REPORT_PERIOD_MILLIS = 2000;

    @Option(names = "--entries", description = "the number of entries", defaultValue = "8")
    private int entries;

    @Option(names = "--replicas", description = "the number of model engines", defaultValue = "48")
    private int replicas;

    @Option(names = "--models", description = "the number of models", defaultValue = "93")
    private int models;

    @Option(names = "--adapters", description = "the number of adapters", defaultValue = "2700")
    private int adapters;

    @Option(names = "--active", description = "the number of models that are called", defaultValue = "35")
    private int activeModels;

    @Option(names = "--domains", description = "the number of failure domains", defaultValue = "7")
    private int domains;

    @Option(names = "--seconds", description = "how long to measure", defaultValue = "15")
    private int seconds;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final PlatformServer platform = new PlatformServer(vertx);
    private final List<ControlNode> nodes = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        HostPort address =
                platform.start(ANY).toCompletionStage().toCompletableFuture().join();
        publish(0);
        startEngines();
        long heapBefore = Heap.keptBytes();
        startNodes(address);
        long heapPerEntry = (Heap.keptBytes() - heapBefore) / entries;
        reportDemand();
        Thread.sleep(Duration.ofSeconds(WARM_UP_SECONDS).toMillis());
        print(measure(), heapPerEntry, timePublishes());
        nodes.forEach(ControlNode::stop);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return 0;
    }

    private void startEngines() {
        VertxTimers timers = new VertxTimers(vertx);
        WeightStore weights = new WeightStore(timers, MonotonicClock.system(), 4);
        for (int i = 0; i < replicas; i++) {
            StandInEngine engine = new StandInEngine(
                    EngineProfile.withShortDelays(40L << 30, true), weights, weights, timers, MonotonicClock.system());
            HostPort address = new EngineServer(vertx, engine)
                    .start(ANY)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            platform.putInstance(
                    new Instance(new UpstreamId("engine-" + i), "", address, "domain-" + i % domains, false));
        }
    }

    private void startNodes(HostPort address) throws InterruptedException {
        WebClient client = WebClient.create(
                vertx,
                new WebClientOptions().setKeepAliveTimeout(60),
                new PoolOptions().setHttp1MaxSize(entries * 2 + 8));
        List<CompletableFuture<Void>> starting = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            ControlNode node = new ControlNode(vertx, client, address, i, domains);
            nodes.add(node);
            starting.add(node.start());
            if (i % 16 == 15) {
                starting.forEach(CompletableFuture::join);
            }
        }
        starting.forEach(CompletableFuture::join);
        while (!nodes.stream().allMatch(n -> n.control().isReady())) {
            Thread.sleep(20);
        }
    }

    /** Lets a few entries report running calls of each active model, as entries that callers were sent to do. */
    private void reportDemand() {
        Random random = new Random(1);
        for (int i = 0; i < Math.min(activeModels, models); i++) {
            PeerMessage.Demand demand = new PeerMessage.Demand(new ModelName("model-" + i), 0, 8, 4);
            for (int j = 0; j < REPORTING_ENTRIES; j++) {
                ControlNode node = nodes.get(random.nextInt(nodes.size()));
                vertx.setPeriodic(
                        1 + random.nextInt(REPORT_PERIOD_MILLIS),
                        REPORT_PERIOD_MILLIS,
                        id -> node.control().report(demand));
            }
        }
    }

    private Sample measure() throws InterruptedException {
        Sample before = Sample.take(nodes, platform);
        Thread.sleep(Duration.ofSeconds(seconds).toMillis());
        return Sample.take(nodes, platform).since(before);
    }

    /** Publishes a few one-object changes and returns how long each took to be in force everywhere, in milliseconds. */
    private List<Double> timePublishes() throws InterruptedException {
        List<Double> times = new ArrayList<>();
        for (int i = 1; i <= PUBLISHES; i++) {
            long generation = publish(i);
            long startNanos = System.nanoTime();
            while (!nodes.stream().allMatch(n -> n.control().config().generation() >= generation)) {
                Thread.sleep(1);
            }
            times.add((System.nanoTime() - startNanos) / 1e6);
        }
        times.sort(null);
        return times;
    }

    private long publish(int revision) {
        ConfigSet set = SyntheticObjects.of(models, adapters, revision);
        return new Publisher(new ConfigRepository(platform.store()))
                .publish(set, OptionalLong.empty(), UUID.randomUUID().toString())
                .await()
                .indefinitely()
                .generation();
    }

    private void print(Sample sample, long heapPerEntry, List<Double> publishes) {
        double elapsed = sample.elapsedNanos / NANOS_PER_SECOND;
        double perEntry = elapsed * entries;
        double udpBytes = sample.sentBytes + (double) UDP_HEADER_BYTES * sample.sentDatagrams;
        System.out.printf(
                "entries=%d replicas=%d models=%d adapters=%d active=%d%n",
                entries, replicas, models, adapters, activeModels);
        System.out.printf(
                "peer bytes/s per entry: sent %.0f, received %.0f%n", udpBytes / perEntry, udpBytes / perEntry);
        System.out.printf("peer messages/s per entry: %.2f sent%n", sample.sentDatagrams / perEntry);
        System.out.printf(
                "platform and engine bytes/s per entry, both ways, TCP headers included: %s%n",
                sample.loopbackBytes < 0
                        ? "not known here"
                        : "%.0f".formatted((sample.loopbackBytes - udpBytes) / perEntry));
        System.out.printf(
                "processor per entry, stand-ins included: %.3f%% of a core%n",
                100 * sample.processorNanos / NANOS_PER_SECOND / perEntry);
        System.out.printf("heap kept per entry: %.2f MiB%n", heapPerEntry / MIB);
        System.out.printf(
                "platform: %.1f reads/s, %.1f writes/s, %d watches waiting%n",
                sample.reads / elapsed,
                sample.writes / elapsed,
                platform.store().waitingWatches());
        System.out.printf(
                "platform calls since the start by kind: %s%n", platform.store().requestsByKind());
        System.out.printf(
                "publish in force everywhere, %d times: median %.0f ms, longest %.0f ms%n",
                publishes.size(), publishes.get(publishes.size() / 2), publishes.get(publishes.size() - 1));
    }

    /** Counters at a moment, or their differences over a time. */
    private record Sample(
            long elapsedNanos,
            long processorNanos,
            long sentBytes,
            long sentDatagrams,
            long loopbackBytes,
            long reads,
            long writes) {

        static Sample take(List<ControlNode> nodes, PlatformServer platform) {
            com.sun.management.OperatingSystemMXBean system =
                    (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            return new Sample(
                    System.nanoTime(),
                    system.getProcessCpuTime(),
                    nodes.stream().mapToLong(n -> n.link().sentBytes()).sum(),
                    nodes.stream().mapToLong(n -> n.link().sentDatagrams()).sum(),
                    LoopbackBytes.sent(),
                    platform.store().reads() + platform.instanceListReads(),
                    platform.store().writes());
        }

        Sample since(Sample before) {
            return new Sample(
                    elapsedNanos - before.elapsedNanos,
                    processorNanos - before.processorNanos,
                    sentBytes - before.sentBytes,
                    sentDatagrams - before.sentDatagrams,
                    loopbackBytes < 0 ? -1 : loopbackBytes - before.loopbackBytes,
                    reads - before.reads,
                    writes - before.writes);
        }
    }
}
