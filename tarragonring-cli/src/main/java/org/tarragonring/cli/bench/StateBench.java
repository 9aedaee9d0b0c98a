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

/** Measures an entry's state and the processor time of its changes, without any network. */
@Command(name = "state", description = "Measures an entry's state at any size.", mixinStandardHelpOptions = true)
final class StateBench implements Callable<Integer> {

    private static final int ROUNDS = 200;
    private static final double MICROS_PER_NANO = 1e-3;
    private static final double KIB = 1 << 10;

    @Option(names = "--entries", defaultValue = "380", description = "the number of entries")
    private int entries;

    @Option(names = "--replicas", defaultValue = "2300", description = "the number of model engines")
    private int replicas;

    @Option(names = "--models", defaultValue = "93", description = "the number of models")
    private int models;

    @Option(names = "--adapters", defaultValue = "2700", description = "the number of adapters")
    private int adapters;

    private final List<Object> kept = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        System.out.printf("entries=%d replicas=%d models=%d adapters=%d%n", entries, replicas, models, adapters);
        ConfigSet set = SyntheticObjects.of(models, adapters, 0);
        ConfigChunks chunks = ConfigChunks.split(set.objects());
        long compressed =
                chunks.bySha256().values().stream().mapToLong(c -> c.length).sum();
        ConfigManifest manifest = new ConfigManifest(1, "publish", chunks.sha256s());
        System.out.printf(
                "configuration: %.1f KiB in %d chunks, manifest %.1f KiB%n",
                compressed / KIB, chunks.bySha256().size(), Json.write(manifest).length / KIB);
        MemberTable table = keep("members", this::members);
        HomeSelector homes = keep("homes of every model and owners of every upstream", () -> homes(table));
        keep("instance list", this::directory);
        ConfigHolder holder = keep("configuration in force", () -> adopted(manifest, chunks));
        timeAdopt(holder);
        timeHomes(table, homes);
        return 0;
    }

    private MemberTable members() {
        MemberTable table = new MemberTable(member(0));
        for (int i = 1; i < entries; i++) {
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

    private HomeSelector homes(MemberTable table) {
        HomeSelector homes = new HomeSelector(table::usable, new EntryId("entry-0"));
        rankAll(homes);
        return homes;
    }

    private void rankAll(HomeSelector homes) {
        for (int i = 0; i < models; i++) {
            homes.rankedHomes(new ModelName("model-" + i));
        }
        for (int i = 0; i < replicas; i++) {
            homes.owns(new UpstreamId("engine-" + i));
        }
    }

    private UpstreamDirectory directory() {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
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

    private static ConfigHolder adopted(ConfigManifest manifest, ConfigChunks chunks) {
        ConfigHolder holder = new ConfigHolder();
        holder.activate(manifest, chunks.bySha256(), "a benchmark");
        return holder;
    }

    private void timeAdopt(ConfigHolder holder) {
        List<ConfigChunks> generations = new ArrayList<>();
        for (int i = 1; i <= ROUNDS; i++) {
            generations.add(
                    ConfigChunks.split(SyntheticObjects.of(models, adapters, i).objects()));
        }
        long startNanos = processorNanos();
        for (int i = 0; i < ROUNDS; i++) {
            ConfigChunks chunks = generations.get(i);
            holder.activate(
                    new ConfigManifest(i + 2, "publish-" + i, chunks.sha256s()), chunks.bySha256(), "a benchmark");
        }
        System.out.printf(
                "processor time to adopt a one-object change: %.0f us%n",
                (processorNanos() - startNanos) * MICROS_PER_NANO / ROUNDS);
    }

    private void timeHomes(MemberTable table, HomeSelector homes) {
        long startNanos = processorNanos();
        int rounds = ROUNDS / 10;
        for (int i = 0; i < rounds; i++) {
            Member member = member(1);
            table.apply(member.withState(MemberState.ALIVE, 2 + i));
            rankAll(homes);
        }
        System.out.printf(
                "processor time to rank everything anew after a member changed: %.0f us%n",
                (processorNanos() - startNanos) * MICROS_PER_NANO / rounds);
    }

    private <T> T keep(String what, Supplier<T> maker) throws InterruptedException {
        long before = Heap.keptBytes();
        T value = maker.get();
        kept.add(value);
        System.out.printf("heap of %s: %.0f KiB%n", what, (Heap.keptBytes() - before) / KIB);
        return value;
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
