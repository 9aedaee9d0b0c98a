package org.tarragonring.cli.bench;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.tarragonring.cli.client.CallClient;
import org.tarragonring.cli.client.ChatCall;
import org.tarragonring.cli.demo.LocalSite;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.entry.Entry;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.EngineServer;
import org.tarragonring.upstream.UpstreamHeaders;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures calls with open-loop arrivals, which are sent at a fixed rate whether or not earlier calls have ended: the
 * latency that an entry adds, the rate of streamed tokens, and the group commit of claims, that is how many changes of
 * claims are stored by one write.
 */
@Command(
        name = "load",
        description =
                "Measures the latency that an entry adds, the rate of streamed tokens and the group commit of claims.",
        mixinStandardHelpOptions = true)
final class LoadBench implements Callable<Integer> {

    private static final int ENTRY_COUNT = 8;
    private static final int ENGINE_COUNT = 4;
    private static final String MODEL = "model-0";
    private static final int TOKENS_PER_STREAM = 100;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    @Option(
            names = "--rate",
            paramLabel = "<rate>",
            description = "the number of calls per second",
            defaultValue = "2000")
    private int callsPerSecond;

    @Option(
            names = "--seconds",
            paramLabel = "<seconds>",
            description = "how long each phase takes, in seconds",
            defaultValue = "10")
    private int phaseSeconds;

    @Option(
            names = "--streams",
            paramLabel = "<streams>",
            description = "the number of streams per second in the phase with streams",
            defaultValue = "200")
    private int streamsPerSecond;

    @Option(
            names = "--bookings",
            paramLabel = "<bookings>",
            description = "the number of calls per second to a plain service in the phase with claims",
            defaultValue = "1000")
    private int bookingsPerSecond;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http =
            vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(2000));
    private final CallClient client = new CallClient(vertx);

    @Override
    public Integer call() throws Exception {
        EngineProfile profile = new EngineProfile(
                40L << 30,
                true,
                Duration.ofMillis(10),
                Duration.ofMillis(10),
                Duration.ofMillis(10),
                Duration.ofMillis(5),
                Duration.ofMillis(1),
                Duration.ZERO,
                Duration.ofMillis(10));
        LocalSite site = new LocalSite(
                vertx,
                new LocalSite.Options(ENTRY_COUNT, 4, ENGINE_COUNT, 3, profile, Map.of(SettingKey.EVENT_LOOPS, "1")));
        site.start(writeObjectFile());
        warmUp(site);
        System.out.printf(
                "rate=%d/s over %d entries; callers, entries and stand-ins run in one process%n",
                callsPerSecond, ENTRY_COUNT);
        Histogram direct = runOpenLoop(callsPerSecond, i -> sendDirectly(site));
        Histogram throughEntry = runOpenLoop(callsPerSecond, i -> sendThroughEntry(site, i));
        print("direct to the engine", direct);
        print("through an entry", throughEntry);
        System.out.printf(
                "added by an entry: p50 %.2f ms, p99 %.2f ms%n",
                (throughEntry.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / MICROS_PER_MILLI,
                (throughEntry.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / MICROS_PER_MILLI);
        printStreams(site);
        printClaims(site);
        site.stop();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return 0;
    }

    /** Writes the object file of a generated configuration and returns its folder. */
    private Path writeObjectFile() throws Exception {
        Path folder = Files.createTempDirectory("tarragonring-bench");
        StringBuilder ini = new StringBuilder();
        for (ConfigObject object : SyntheticObjects.of(4, 0, 0).objects()) {
            ini.append('[').append(object.section()).append("]\n");
            object.keys()
                    .forEach((key, value) ->
                            ini.append(key).append(" = ").append(value).append('\n'));
        }
        Files.writeString(folder.resolve("objects.ini"), ini.toString());
        return folder;
    }

    private void warmUp(LocalSite site) throws Exception {
        runOpenLoop(callsPerSecond / 4, i -> sendThroughEntry(site, i));
        runOpenLoop(callsPerSecond / 4, i -> sendDirectly(site));
    }

    /** Sends a call to the first engine that holds the model, as an entry does. */
    private Future<Boolean> sendDirectly(LocalSite site) {
        for (EngineServer engine : site.engines()) {
            List<SlotId> slots = engine.engine().slotsOf(new ModelName(MODEL));
            if (!slots.isEmpty()) {
                RequestOptions options = options(engine.address());
                options.putHeader(UpstreamHeaders.SLOT, slots.get(0).value());
                options.putHeader(UpstreamHeaders.CALL_ID, "direct");
                return send(options);
            }
        }
        return Future.succeededFuture(false);
    }

    private Future<Boolean> sendThroughEntry(LocalSite site, int callIndex) {
        RequestOptions options = options(entryAddress(site, callIndex));
        options.putHeader("Authorization", "Bearer " + SyntheticObjects.TEAM_KEY);
        return send(options);
    }

    private Future<Boolean> send(RequestOptions options) {
        Buffer requestBody = new JsonObject()
                .put("model", MODEL)
                .put("max_tokens", 1)
                .put(
                        "messages",
                        new JsonArray().add(new JsonObject().put("role", "user").put("content", "bench")))
                .toBuffer();
        return http.request(options)
                .compose(request -> request.send(requestBody))
                .compose(response -> response.body().map(body -> response.statusCode() == 200))
                .otherwise(false);
    }

    private static RequestOptions options(HostPort address) {
        return new RequestOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(HttpMethod.POST)
                .setURI("/v1/chat/completions");
    }

    /**
     * Sends calls at a fixed rate for one phase and waits until all have ended. Latencies count from the time at which
     * a call was due and thus include the delay of calls that were sent late.
     *
     * @param ratePerSecond the number of calls per second
     * @param call sends the call with the given index; its future is true if the call was answered; not null
     * @return the latencies in microseconds, never null
     */
    private Histogram runOpenLoop(int ratePerSecond, IntFunction<Future<Boolean>> call) throws Exception {
        Histogram histogram = new ConcurrentHistogram(3);
        AtomicInteger failed = new AtomicInteger();
        List<Future<?>> pending = Collections.synchronizedList(new ArrayList<>());
        long startNanos = System.nanoTime();
        int total = ratePerSecond * phaseSeconds;
        for (int i = 0; i < total; i++) {
            long dueNanos = startNanos + (long) (i * NANOS_PER_SECOND / ratePerSecond);
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.min(100_000, dueNanos - System.nanoTime()));
            }
            pending.add(call.apply(i).onSuccess(ok -> {
                histogram.recordValue(Math.max(0, (System.nanoTime() - dueNanos) / 1000));
                if (!ok) {
                    failed.incrementAndGet();
                }
            }));
        }
        Future.join(new ArrayList<>(pending))
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        if (failed.get() > 0) {
            System.out.printf("%d of %d calls were not answered%n", failed.get(), total);
        }
        return histogram;
    }

    /** Measures streamed tokens: per second, and per second of processor time. */
    private void printStreams(LocalSite site) throws Exception {
        long tokensBefore = tokenCount(site);
        long cpuNanosBefore = cpuNanos();
        long startNanos = System.nanoTime();
        runOpenLoop(
                streamsPerSecond,
                i -> client.chat(
                                new ChatCall(
                                        entryAddress(site, i),
                                        SyntheticObjects.TEAM_KEY,
                                        MODEL,
                                        "stream " + i,
                                        TOKENS_PER_STREAM),
                                token -> {})
                        .map(result -> result.isAnswered()));
        long tokens = tokenCount(site) - tokensBefore;
        double cpuSeconds = (cpuNanos() - cpuNanosBefore) / NANOS_PER_SECOND;
        System.out.printf(
                "streams: %.0f tokens/s, %.0f tokens per core second, including callers and engines%n",
                tokens / ((System.nanoTime() - startNanos) / NANOS_PER_SECOND), tokens / cpuSeconds);
    }

    /** Measures calls with idempotency keys, and how many changes of claims are stored by one write. */
    private void printClaims(LocalSite site) throws Exception {
        long operationsBefore = site.entries().stream()
                .mapToLong(e -> e.state().claimOperations())
                .sum();
        long writesBefore = site.platform().store().writes();
        Histogram latency = runOpenLoop(
                bookingsPerSecond,
                i -> client.service(
                                entryAddress(site, i),
                                SyntheticObjects.TEAM_KEY,
                                HttpMethod.POST,
                                "/bookings",
                                "bench-" + i,
                                "x")
                        .map(result -> result.isAnswered()));
        long operations = site.entries().stream()
                        .mapToLong(e -> e.state().claimOperations())
                        .sum()
                - operationsBefore;
        long writes = site.platform().store().writes() - writesBefore;
        print("plain calls with claims", latency);
        System.out.printf(
                "claims: %d claims and responses in %d platform writes, %.1f per write%n",
                operations, writes, (double) operations / Math.max(1, writes));
        long keysRunMoreThanOnce =
                site.runsByKey().values().stream().filter(n -> n.get() > 1).count();
        System.out.printf("keys that ran more than once: %d%n", keysRunMoreThanOnce);
    }

    private static HostPort entryAddress(LocalSite site, int callIndex) {
        List<Entry> entries = site.entries();
        return entries.get(callIndex % entries.size()).callerAddress();
    }

    private static long tokenCount(LocalSite site) {
        return site.engines().stream().mapToLong(EngineServer::sentTokens).sum();
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static void print(String label, Histogram histogram) {
        System.out.printf(
                "%-24s p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, max %.2f ms%n",
                label,
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI);
    }
}
