package org.tarragonring.upstream;

import java.util.Optional;

import org.tarragonring.ids.UpstreamId;

/**
 * Finds the engine of an upstream.
 *
 * @since 0.1.0
 */
public interface EngineDirectory {

    /**
     * Finds an engine.
     *
     * @param upstream the upstream, not null
     * @return the engine, or empty if the upstream is no longer listed
     */
    Optional<Engine> find(UpstreamId upstream);

    /**
     * Checks if an upstream has been missing from the instance list for so long that it is not coming back.
     *
     * @param upstream the upstream, not null
     * @return true if its accelerator is taken as gone
     */
    boolean isGone(UpstreamId upstream);
}
