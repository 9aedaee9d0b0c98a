package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;

/** Wraps another store and passes its responses through an interceptor. */
final class InterceptedObjectStore implements ObjectStore {

    private final ObjectStore store;
    private final ResponseInterceptor interceptor;

    InterceptedObjectStore(ObjectStore store, ResponseInterceptor interceptor) {
        this.store = store;
        this.interceptor = interceptor;
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return interceptor.intercept(store.read(key));
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return interceptor.intercept(store.list(prefix));
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return interceptor.intercept(store.write(key, expectedVersion, value));
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return interceptor.intercept(store.delete(key, expectedVersion));
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return interceptor.intercept(store.watch(prefix, afterRevision, wait));
    }

    /** Delays or discards responses. */
    interface ResponseInterceptor {

        <T> Uni<T> intercept(Uni<T> response);
    }
}
