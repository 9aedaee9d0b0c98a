package org.tarragonring.upstream;

import java.util.Optional;

import org.tarragonring.ids.UpstreamId;

/**
 * Finds the engines of upstreams.
 *
 * @since 0.1.0
 */
public interface EngineDirectory {

    /**
     * Finds the engine of an upstream.
     *
     * @param upstream the upstream's id, not null
     * @return a client of the engine, or empty if the upstream is not listed or not a model engine
     */
    Optional<EngineClient> find(UpstreamId upstream);

    /**
     * Checks whether an upstream has been missing from the instance list for so long that it is not expected to return.
     *
     * @param upstream the upstream's id, not null
     * @return true if the upstream and the memory of its accelerator are considered permanently removed
     */
    boolean isRemoved(UpstreamId upstream);
}
