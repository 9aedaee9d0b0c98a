package org.tarragonring.objects;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * Reads the platform's lagging list of upstream instances.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return the instances listed; fails with {@link StoreException}
     */
    Uni<List<Instance>> read();

    /**
     * Returns how many bytes the latest read transferred.
     *
     * @return bytes; 0 if the list had not changed, or where the size is not known
     */
    default int latestBytes() {
        return 0;
    }
}
