package org.tarragonring.objects;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * An object store that returns the revision of each listing, so that a watch can continue from it without a gap.
 *
 * @since 0.2.0
 */
public interface RevisionedStore extends ObjectStore {

    /**
     * Lists objects together with the revision of the store.
     *
     * @param prefix the key prefix, not null
     * @return the objects and the revision to pass to {@link #watch}
     */
    Uni<Snapshot> snapshot(String prefix);

    /**
     * The objects at one revision of the store.
     *
     * @param revision the store-wide revision to pass to {@link #watch}
     * @param objects the objects, not null
     */
    record Snapshot(long revision, List<StoredObject> objects) {

        /** Makes an immutable copy of the list. */
        public Snapshot {
            objects = List.copyOf(objects);
        }
    }
}
