package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A wrong limit makes all loads from the weight store slow each other down, or leaves the store unused. */
class StoreConcurrencyTest {

    private static final long LOAD_MILLIS = 13_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int REPLICAS = 40;

    private final List<ReplicaState> replicas = new ArrayList<>();
    private final long[] endMillis = new long[REPLICAS];
    private long nowMillis;
    private final StoreConcurrency concurrency = new StoreConcurrency(() -> nowMillis * NANOS_PER_MILLI);

    // Guards against a store whose loads never end because each one makes all others slower.
    @Test
    void limitFallsToOneOnStoreThatServesOneLoadAtFullSpeed() {
        run(1, 200);

        assertTrue(concurrency.limit() <= 2, "limit " + concurrency.limit());
    }

    @Test
    void limitApproachesTheCapacityOfStoreThatServesMany() {
        run(20, 200);

        assertTrue(Math.abs(concurrency.limit() - 20) <= 20 / 5, "limit " + concurrency.limit());
    }

    @Test
    void limitFallsToTheCapacityOfStoreThatServesFewerThanTheInitialLimit() {
        run(4, 200);

        assertTrue(Math.abs(concurrency.limit() - 4) <= 1, "limit " + concurrency.limit());
    }

    @Test
    void loadSeenOnlyAtItsEndDoesNotRaiseTheLimit() {
        addReplicas();
        start(0, 1);
        nowMillis = LOAD_MILLIS - 100;
        observe();
        nowMillis = LOAD_MILLIS + 100;
        endDueLoads();
        observe();

        assertEquals(StoreConcurrency.INITIAL_LIMIT, concurrency.limit());
    }

    /** Starts loads up to the limit; each takes the longer the more are in progress at its start. */
    private void run(int capacity, int seconds) {
        addReplicas();
        for (; nowMillis < seconds * 1_000L; nowMillis += 100) {
            endDueLoads();
            observe();
            for (int i = 0; i < REPLICAS && inProgress() < concurrency.limit(); i++) {
                if (replicas.get(i).loading().isEmpty()) {
                    start(i, capacity);
                    observe();
                }
            }
        }
    }

    private void start(int index, int capacity) {
        double stretch = Math.max(1, (inProgress() + 1) / (double) capacity);
        endMillis[index] = nowMillis + (long) (LOAD_MILLIS * stretch);
        update(index, Map.of(), Optional.of(model(index)));
    }

    private void endDueLoads() {
        for (int i = 0; i < REPLICAS; i++) {
            if (replicas.get(i).loading().isPresent() && endMillis[i] <= nowMillis) {
                update(i, Map.of(model(i), Set.of()), Optional.empty());
            }
        }
    }

    private void update(int index, Map<ModelName, Set<String>> residents, Optional<ModelName> loading) {
        ReplicaState replica = replicas.get(index);
        replica.onOrderState(
                replica.process(), replica.acceptedOrders() + 1, residents, loading, nowMillis + 100 * LOAD_MILLIS);
    }

    private long inProgress() {
        return replicas.stream().filter(r -> r.loading().isPresent()).count();
    }

    private void observe() {
        concurrency.observe(replicas, engine());
    }

    private void addReplicas() {
        for (int i = 0; i < REPLICAS; i++) {
            ListedReplica listed = new ListedReplica(
                    new UpstreamId("r" + i),
                    new ServiceName("assistant"),
                    new HostPort("10.0.0.1", 8_000),
                    "domain-a",
                    new SoftwareVersion("v1"),
                    64,
                    false,
                    new Holdings(1, 0, Map.of(), Set.of(), Set.of()));
            replicas.add(new ReplicaState(listed, () -> nowMillis * NANOS_PER_MILLI));
        }
    }

    private static ModelName model(int index) {
        return new ModelName("model-" + index);
    }

    private static EngineSpec engine() {
        Map<ModelName, ModelSpec> models = new HashMap<>();
        for (int i = 0; i < REPLICAS; i++) {
            ModelName name = model(i);
            Duration storeLoadTime = Duration.ofMillis(LOAD_MILLIS);
            models.put(
                    name, new ModelSpec(name, 60, 0.5, storeLoadTime, Duration.ofMillis(800), Duration.ofMillis(400)));
        }
        return new EngineSpec(64, 130, 8, 2, models);
    }
}
