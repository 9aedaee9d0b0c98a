package org.tarragonring.platform;

import java.util.List;

/**
 * What a watch saw.
 *
 * @param revision the store-wide revision to continue after
 * @param changed the objects changed since, without their deletions; not null
 * @since 0.1.0
 */
public record WatchBatch(long revision, List<StoredObject> changed) {

    /** Copies the list. */
    public WatchBatch {
        changed = List.copyOf(changed);
    }
}
