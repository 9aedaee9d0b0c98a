package org.tarragonring.objects;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * Reads the platform's list of upstream instances. The list may be outdated.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface InstanceList {

    /**
     * Reads the current list.
     *
     * @return the listed instances; fails with {@link StoreException} if the list cannot be read
     */
    Uni<List<Instance>> read();

    /**
     * Returns the number of bytes that the last read transferred.
     *
     * @return the size in bytes; 0 if the list was unchanged or the size is unknown
     */
    default int lastReadBytes() {
        return 0;
    }
}
