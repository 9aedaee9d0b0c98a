package org.tarragonring.objects;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * A store whose listings tell the revision they reflect, so that a watch can continue from there without a gap.
 *
 * @since 0.2.0
 */
public interface RevisionedStore extends ObjectStore {

    /**
     * Lists objects together with the store's revision.
     *
     * @param prefix the start of the keys, not null
     * @return the objects and the revision to watch from
     */
    Uni<Snapshot> snapshot(String prefix);

    /**
     * The objects at one revision.
     *
     * @param revision the store-wide revision to watch from
     * @param objects the objects, not null
     */
    record Snapshot(long revision, List<StoredObject> objects) {

        /** Copies the list. */
        public Snapshot {
            objects = List.copyOf(objects);
        }
    }
}
