package org.tarragonring.cli.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigChunks;
import org.tarragonring.config.ConfigHolder;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.home.HomeSelector;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.Json;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.upstream.UpstreamDirectory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the memory that an entry's state takes and the processor time of changes to it, without any network. */
@Command(
        name = "state",
        description = "Measures the memory of an entry's state and the processor time of changes to it.",
        mixinStandardHelpOptions = true)
final class StateBench implements Callable<Integer> {

    private static final int ITERATIONS = 200;
    private static final double MICROS_PER_NANO = 1e-3;
    private static final double BYTES_PER_KIB = 1 << 10;

    @Option(names = "--entries", paramLabel = "<entries>", defaultValue = "380", description = "the number of entries")
    private int entryCount;

    @Option(
            names = "--replicas",
            paramLabel = "<replicas>",
            defaultValue = "2300",
            description = "the number of engines")
    private int engineCount;

    @Option(names = "--models", paramLabel = "<models>", defaultValue = "93", description = "the number of models")
    private int modelCount;

    @Option(
            names = "--adapters",
            paramLabel = "<adapters>",
            defaultValue = "2700",
            description = "the number of adapters")
    private int adapterCount;

    private final List<Object> retained = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "entries=%d replicas=%d models=%d adapters=%d%n", entryCount, engineCount, modelCount, adapterCount);
        ConfigSet config = SyntheticObjects.of(modelCount, adapterCount, 0);
        ConfigChunks chunks = ConfigChunks.split(config.objects());
        long compressedBytes =
                chunks.bySha256().values().stream().mapToLong(c -> c.length).sum();
        ConfigManifest manifest = new ConfigManifest(1, "publish", chunks.sha256s());
        System.out.printf(
                "configuration: %.1f KiB in %d chunks, manifest %.1f KiB%n",
                compressedBytes / BYTES_PER_KIB, chunks.bySha256().size(), Json.write(manifest).length / BYTES_PER_KIB);
        MemberTable table = measureHeap("members", this::memberTable);
        HomeSelector homes =
                measureHeap("homes of every model and owners of every upstream", () -> homeSelector(table));
        measureHeap("instance list", this::directory);
        ConfigHolder holder = measureHeap("active configuration", () -> activated(manifest, chunks));
        measureActivation(holder);
        measureRanking(table, homes);
        return 0;
    }

    private MemberTable memberTable() {
        MemberTable table = new MemberTable(member(0));
        for (int i = 1; i < entryCount; i++) {
            table.seed(member(i));
        }
        return table;
    }

    private static Member member(int index) {
        return new Member(
                new EntryId("entry-" + index),
                1,
                MemberState.ALIVE,
                new HostPort("10.0.%d.%d".formatted(index / 250, index % 250), 7000),
                new HostPort("10.0.%d.%d".formatted(index / 250, index % 250), 8000),
                "domain-" + index % 7);
    }

    private HomeSelector homeSelector(MemberTable table) {
        HomeSelector homes = new HomeSelector(table::usable, new EntryId("entry-0"));
        rankAll(homes);
        return homes;
    }

    /** Ranks the homes of every model and selects the owner of every engine, which the selector then caches. */
    private void rankAll(HomeSelector homes) {
        for (int i = 0; i < modelCount; i++) {
            homes.rankedHomes(new ModelName("model-" + i));
        }
        for (int i = 0; i < engineCount; i++) {
            homes.owns(new UpstreamId("engine-" + i));
        }
    }

    private UpstreamDirectory directory() {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            instances.add(new Instance(
                    new UpstreamId("engine-" + i),
                    "",
                    new HostPort("10.1.%d.%d".formatted(i / 250, i % 250), 9000),
                    "domain-" + i % 7,
                    false));
        }
        UpstreamDirectory directory =
                new UpstreamDirectory(() -> Uni.createFrom().item(instances), address -> null);
        directory.refresh().await().indefinitely();
        return directory;
    }

    private static ConfigHolder activated(ConfigManifest manifest, ConfigChunks chunks) {
        ConfigHolder holder = new ConfigHolder();
        holder.activate(manifest, chunks.bySha256(), "a benchmark");
        return holder;
    }

    /** Prints the mean processor time to activate a small change of the configuration. */
    private void measureActivation(ConfigHolder holder) {
        List<ConfigChunks> generations = new ArrayList<>();
        for (int i = 1; i <= ITERATIONS; i++) {
            generations.add(ConfigChunks.split(
                    SyntheticObjects.of(modelCount, adapterCount, i).objects()));
        }
        long startNanos = cpuNanos();
        for (int i = 0; i < ITERATIONS; i++) {
            ConfigChunks chunks = generations.get(i);
            holder.activate(
                    new ConfigManifest(i + 2, "publish-" + i, chunks.sha256s()), chunks.bySha256(), "a benchmark");
        }
        System.out.printf(
                "processor time to activate a one-object change: %.0f us%n",
                (cpuNanos() - startNanos) * MICROS_PER_NANO / ITERATIONS);
    }

    /** Prints the mean processor time to rank all homes and owners again after a member changed. */
    private void measureRanking(MemberTable table, HomeSelector homes) {
        long startNanos = cpuNanos();
        int iterations = ITERATIONS / 10;
        for (int i = 0; i < iterations; i++) {
            Member member = member(1);
            table.apply(member.withState(MemberState.ALIVE, 2 + i));
            rankAll(homes);
        }
        System.out.printf(
                "processor time to rank all homes and owners again after a member changed: %.0f us%n",
                (cpuNanos() - startNanos) * MICROS_PER_NANO / iterations);
    }

    /** Creates a value, prints by how much the used heap grows and keeps the value reachable. */
    private <T> T measureHeap(String label, Supplier<T> factory) throws InterruptedException {
        long usedBytesBefore = HeapUsage.usedBytesAfterGc();
        T value = factory.get();
        retained.add(value);
        System.out.printf(
                "heap of %s: %.0f KiB%n", label, (HeapUsage.usedBytesAfterGc() - usedBytesBefore) / BYTES_PER_KIB);
        return value;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
