package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;

/** Wraps another store and leaves watches without an answer while it is silent, until the time-out of their client. */
final class SilenceableStore implements ObjectStore {

    /** The default of the setting for requests to the platform. */
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(2);

    private final ObjectStore store;
    private final Delays delays;
    private final BooleanSupplier silent;

    SilenceableStore(ObjectStore store, Timers timers, BooleanSupplier silent) {
        this.store = store;
        this.delays = new Delays(timers);
        this.silent = silent;
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return store.read(key);
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return store.list(prefix);
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return store.write(key, expectedVersion, value);
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return store.delete(key, expectedVersion);
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        if (!silent.getAsBoolean()) {
            return store.watch(prefix, afterRevision, wait);
        }
        return delays.after(wait.plus(CLIENT_TIMEOUT))
                .chain(() -> Uni.createFrom()
                        .failure(new StoreException(StoreException.Kind.UNAVAILABLE, "the watch timed out")));
    }
}
