package org.tarragonring.platform;

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
}
