package org.tarragonring.objects;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param revision the store-wide revision to continue after
 * @param changed the objects changed since, without their deletions; not null
 * @param deletedKeys the keys of the objects deleted since, not null
 * @since 0.1.0
 */
public record WatchBatch(long revision, List<StoredObject> changed, List<String> deletedKeys) {

    /** Copies the lists. */
    public WatchBatch {
        changed = List.copyOf(changed);
        deletedKeys = List.copyOf(deletedKeys);
    }

    /**
     * Creates a batch without deletions.
     *
     * @param revision the store-wide revision to continue after
     * @param changed the objects changed since, not null
     */
    public WatchBatch(long revision, List<StoredObject> changed) {
        this(revision, changed, List.of());
    }
}
