package org.tarragonring.gateway.metrics;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.MonotonicClock;

/**
 * Counts the requests to a store by kind and outcome.
 *
 * @since 0.2.0
 */
public final class MeteredStore implements RevisionedStore {

    private final RevisionedStore store;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;

    /**
     * Creates a store that counts.
     *
     * @param store takes the requests, not null
     * @param metrics counts them, not null
     * @param clock tells how long they take, not null
     */
    public MeteredStore(RevisionedStore store, GatewayMetrics metrics, MonotonicClock clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Uni<Snapshot> snapshot(String prefix) {
        return counted("list", () -> store.snapshot(prefix));
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return counted("read", () -> store.read(key));
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return counted("list", () -> store.list(prefix));
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return counted("write", () -> store.write(key, expectedVersion, value));
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return counted("delete", () -> store.delete(key, expectedVersion));
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return counted("watch", () -> store.watch(prefix, afterRevision, wait));
    }

    private <T> Uni<T> counted(String request, Supplier<Uni<T>> call) {
        return Uni.createFrom().deferred(() -> {
            long startMillis = clock.millis();
            return call.get()
                    .invoke(() -> metrics.requested("store", request, "done", clock.millis() - startMillis))
                    .onFailure()
                    .invoke(failure ->
                            metrics.requested("store", request, outcome(failure), clock.millis() - startMillis));
        });
    }

    private static String outcome(Throwable failure) {
        return failure instanceof StoreException e ? e.kind().name().toLowerCase(Locale.ROOT) : "failed";
    }
}
