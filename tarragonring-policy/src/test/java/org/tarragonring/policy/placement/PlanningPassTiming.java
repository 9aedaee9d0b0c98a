package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;

/** Measures the duration of a planning pass with generated replicas and demand, for docs/CAPACITY.md. */
final class PlanningPassTiming {

    private static final int WARM_UP_PASSES = 30;
    private static final int PASSES = 100;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int SLOTS = 48;
    private static final int MAX_ADAPTERS = 8;
    private static final double REPLICA_MEGABYTES = 200_000;
    private static final double MIN_MODEL_MEGABYTES = 34_300;
    private static final double MAX_MODEL_MEGABYTES = 72_700;
    private static final int CHECKPOINTS_PER_REPLICA = 10;
    private static final double CALLS_PER_SECOND_PER_REPLICA = 2;
    private static final double OBSERVED_SECONDS = 15;

    private PlanningPassTiming() {}

    /**
     * Prints the median and the 99th percentile of the duration of a pass.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        print("uneven, few calls wait", 98, 263, 0.02);
        print("uneven, many calls wait", 98, 263, 0.2);
        print("target, few calls wait", 2_300, 93, 0.02);
        print("target, many calls wait", 2_300, 93, 0.2);
    }

    private static void print(String name, int replicas, int models, double waitingShare) {
        long[] nanos = new long[PASSES];
        for (int pass = -WARM_UP_PASSES; pass < PASSES; pass++) {
            Fleet fleet = Fleet.random(new Random(pass), replicas, models, waitingShare);
            long startNanos = System.nanoTime();
            fleet.plan();
            if (pass >= 0) {
                nanos[pass] = System.nanoTime() - startNanos;
            }
        }
        Arrays.sort(nanos);
        System.out.printf(
                "%s: %d replicas, %d models, median %d us, 99th percentile %d us%n",
                name, replicas, models, nanos[PASSES / 2] / NANOS_PER_MICRO, nanos[PASSES - 2] / NANOS_PER_MICRO);
    }

    /** The input of a planning pass. */
    record Fleet(EngineSpec engine, List<ReplicaSnapshot> replicas, ServiceDemand demand, StoreLoadLimits limits) {

        List<PlannedLoad> plan() {
            return new PlacementPlanner(engine).plan(replicas, demand, limits);
        }

        static Fleet random(Random random, int replicaCount, int modelCount, double waitingShare) {
            List<ModelName> names = new ArrayList<>();
            Map<ModelName, ModelSpec> models = new HashMap<>();
            Map<ModelName, AggregateDemand> demands = new HashMap<>();
            for (int i = 0; i < modelCount; i++) {
                ModelName model = new ModelName("m" + i);
                names.add(model);
                models.put(
                        model,
                        new ModelSpec(
                                model,
                                random.nextDouble(MIN_MODEL_MEGABYTES, MAX_MODEL_MEGABYTES),
                                500,
                                Duration.ofMillis(13_200),
                                Duration.ofMillis(1_200),
                                Duration.ofMillis(400)));
                double callsPerSecond = CALLS_PER_SECOND_PER_REPLICA * replicaCount / (i + 1) / Math.log(modelCount);
                int waiting = random.nextDouble() < waitingShare ? 1 + random.nextInt(5) : 0;
                demands.put(
                        model,
                        new AggregateDemand(
                                model,
                                waiting,
                                (int) callsPerSecond,
                                callsPerSecond,
                                callsPerSecond * OBSERVED_SECONDS,
                                waiting > 0 ? random.nextInt(2_000) : Long.MAX_VALUE));
            }
            EngineSpec engine = new EngineSpec(SLOTS, REPLICA_MEGABYTES, MAX_ADAPTERS, 30, models);
            // The popular models are on more replicas.
            Function<Integer, ModelName> pick =
                    ignored -> names.get((int) (Math.pow(random.nextDouble(), 2) * modelCount));
            List<ReplicaSnapshot> replicas = new ArrayList<>();
            for (int i = 0; i < replicaCount; i++) {
                replicas.add(randomReplica(random, i, engine, pick));
            }
            return new Fleet(
                    engine, replicas, new ServiceDemand(demands, OBSERVED_SECONDS), new StoreLoadLimits(9, 2, true));
        }

        private static ReplicaSnapshot randomReplica(
                Random random, int index, EngineSpec engine, Function<Integer, ModelName> pick) {
            Set<ModelName> onDisk = new HashSet<>();
            for (int i = 0; i < CHECKPOINTS_PER_REPLICA; i++) {
                onDisk.add(pick.apply(i));
            }
            Map<ModelName, Set<String>> residents = new HashMap<>();
            double freeMegabytes = engine.modelMemoryMegabytes();
            for (ModelName model : onDisk) {
                double megabytes = engine.models().get(model).weightsMegabytes();
                if (megabytes <= freeMegabytes) {
                    residents.put(model, Set.of());
                    freeMegabytes -= megabytes;
                }
            }
            ListedReplica listed = new ListedReplica(
                    new UpstreamId("r" + index),
                    new ServiceName("assistant"),
                    new HostPort("10.0.0.1", 8_000),
                    "domain-" + index % 3,
                    new SoftwareVersion("v1"),
                    SLOTS,
                    false,
                    new Holdings(1, 0, residents, Set.of(), onDisk));
            boolean isLoading = random.nextDouble() < 0.02;
            return new ReplicaSnapshot(
                    new ReplicaState(listed, () -> 0),
                    Map.of(),
                    isLoading ? Optional.of(pick.apply(0)) : Optional.empty(),
                    isLoading ? random.nextInt(13_000) : 0,
                    false,
                    true);
        }
    }
}
