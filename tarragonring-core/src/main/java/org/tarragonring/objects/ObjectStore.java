package org.tarragonring.objects;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.smallrye.mutiny.Uni;

/**
 * Reads and conditionally updates objects of the platform.
 *
 * <p>Every method fails with {@link StoreException}.
 *
 * @since 0.1.0
 */
public interface ObjectStore {

    /** The expected version of an object that must not exist yet. */
    long ABSENT_VERSION = 0;

    /**
     * Reads one object.
     *
     * @param key the object's key, not null
     * @return the object, or empty if there is none
     */
    Uni<Optional<StoredObject>> read(String key);

    /**
     * Lists objects.
     *
     * @param prefix the start of the keys, not null; empty lists all
     * @return the objects in the order of their keys
     */
    Uni<List<StoredObject>> list(String prefix);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param key the object's key, not null
     * @param expectedVersion the version it must have, {@link #ABSENT_VERSION} if it must not exist
     * @param value the new value, not null, at most 1 MB
     * @return the new version
     */
    Uni<Long> write(String key, long expectedVersion, byte[] value);

    /**
     * Deletes an object if its version is the expected one.
     *
     * @param key the object's key, not null
     * @param expectedVersion the version it must have
     * @return nothing
     */
    Uni<Void> delete(String key, long expectedVersion);

    /**
     * Waits for a change of objects.
     *
     * @param prefix the start of the keys, not null
     * @param afterRevision the store-wide revision already seen, 0 for none
     * @param wait the longest time to wait, not null
     * @return the revision reached and the objects changed, none if the time ran out
     */
    Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait);
}
