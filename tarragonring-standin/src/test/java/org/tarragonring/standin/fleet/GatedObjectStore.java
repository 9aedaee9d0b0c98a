package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;

/** Passes every answer of another store through a gate. */
final class GatedObjectStore implements ObjectStore {

    private final ObjectStore store;
    private final Gate gate;

    GatedObjectStore(ObjectStore store, Gate gate) {
        this.store = store;
        this.gate = gate;
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return gate.pass(store.read(key));
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return gate.pass(store.list(prefix));
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return gate.pass(store.write(key, expectedVersion, value));
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return gate.pass(store.delete(key, expectedVersion));
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return gate.pass(store.watch(prefix, afterRevision, wait));
    }

    /** Holds answers back. */
    interface Gate {

        <T> Uni<T> pass(Uni<T> answer);
    }
}
