package org.tarragonring.gateway.metrics;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.MonotonicClock;

/**
 * Store client that records the kind, outcome and duration of each request in the metrics.
 *
 * @since 0.2.0
 */
public final class MeteredStore implements RevisionedStore {

    private final RevisionedStore store;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;

    /**
     * Creates a store that delegates to another one.
     *
     * @param store the store that receives the requests, not null
     * @param metrics records the requests, not null
     * @param clock the monotonic clock, not null
     */
    public MeteredStore(RevisionedStore store, GatewayMetrics metrics, MonotonicClock clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Uni<Snapshot> snapshot(String prefix) {
        return measure("list", prefix, () -> store.snapshot(prefix));
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return measure("read", key, () -> store.read(key));
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return measure("list", prefix, () -> store.list(prefix));
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return measure("write", key, () -> store.write(key, expectedVersion, value));
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return measure("delete", key, () -> store.delete(key, expectedVersion));
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return measure("watch", prefix, () -> store.watch(prefix, afterRevision, wait));
    }

    @Override
    public StoreEra era() {
        return store.era();
    }

    @Override
    public void addEraListener(Consumer<StoreEra> listener) {
        store.addEraListener(listener);
    }

    private <T> Uni<T> measure(String request, String key, Supplier<Uni<T>> operation) {
        return Uni.createFrom().deferred(() -> {
            metrics.countStoreRequest(request, key.substring(0, key.indexOf('/') + 1));
            long startMillis = clock.millis();
            return operation
                    .get()
                    .invoke(() -> metrics.recordRequest("store", request, "done", clock.millis() - startMillis))
                    .onFailure()
                    .invoke(failure ->
                            metrics.recordRequest("store", request, outcome(failure), clock.millis() - startMillis));
        });
    }

    private static String outcome(Throwable failure) {
        return failure instanceof StoreException e ? e.kind().name().toLowerCase(Locale.ROOT) : "failed";
    }
}
