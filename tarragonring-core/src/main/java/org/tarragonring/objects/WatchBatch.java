package org.tarragonring.objects;

import java.util.List;

/**
 * The changes that one watch request returned.
 *
 * @param revision the store-wide revision from which the next watch continues
 * @param changed the objects created or changed since the watched revision, not null
 * @param deletedKeys the keys of the objects deleted since the watched revision, not null
 * @since 0.1.0
 */
public record WatchBatch(long revision, List<StoredObject> changed, List<String> deletedKeys) {

    /** Makes immutable copies of the lists. */
    public WatchBatch {
        changed = List.copyOf(changed);
        deletedKeys = List.copyOf(deletedKeys);
    }

    /**
     * Creates a batch without deletions.
     *
     * @param revision the store-wide revision from which the next watch continues
     * @param changed the objects created or changed since the watched revision, not null
     */
    public WatchBatch(long revision, List<StoredObject> changed) {
        this(revision, changed, List.of());
    }
}
