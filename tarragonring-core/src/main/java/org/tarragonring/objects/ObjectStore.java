package org.tarragonring.objects;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;

/**
 * Reads and conditionally writes objects of the platform's object store.
 *
 * <p>The result of every method fails with {@link StoreException} if the request fails.
 *
 * @since 0.1.0
 */
public interface ObjectStore {

    /** The version to expect of an object that must not exist yet. */
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
     * @param prefix the key prefix, not null; empty to list all objects
     * @return the objects, ordered by key
     */
    Uni<List<StoredObject>> list(String prefix);

    /**
     * Writes an object if it has the expected version.
     *
     * @param key the object's key, not null
     * @param expectedVersion the version that the object must have, {@link #ABSENT_VERSION} if it must not exist yet
     * @param value the new value, not null, at most 1 MB
     * @return the new version
     */
    Uni<Long> write(String key, long expectedVersion, byte[] value);

    /**
     * Deletes an object if it has the expected version.
     *
     * @param key the object's key, not null
     * @param expectedVersion the version that the object must have
     * @return completes when the object is deleted
     */
    Uni<Void> delete(String key, long expectedVersion);

    /**
     * Waits until objects change or the wait time ends.
     *
     * @param prefix the key prefix, not null
     * @param afterRevision the last store-wide revision that was already processed, 0 for none
     * @param wait the maximum time to wait, not null
     * @return the revision reached and the changed objects; no objects if none changed in time
     */
    Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Returns the newest era that the store has told. Responses of earlier eras are not passed on: reads are repeated,
     * and writes fail as {@link StoreException.Kind#AMBIGUOUS}.
     *
     * @return the era, {@link StoreEra#NONE} if the store has not told one
     * @since 0.2.0
     */
    default StoreEra era() {
        return StoreEra.NONE;
    }

    /**
     * Adds a listener that is notified when the store has come back from an older copy, before the response that shows
     * this is passed on. By default there are no eras, and it is never notified.
     *
     * @param listener receives each new era, not null
     * @since 0.2.0
     */
    default void addEraListener(Consumer<StoreEra> listener) {}
}
