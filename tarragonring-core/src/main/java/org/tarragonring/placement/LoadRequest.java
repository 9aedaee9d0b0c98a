package org.tarragonring.placement;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * A decision to load one more replica of a model.
 *
 * @param slot the new placement, not null
 * @param model the model, not null
 * @param version the model's version, not null
 * @param bytes the memory it takes, its adapter pool included
 * @param upstream where to load it, not null
 * @param decidedReplicas the most replicas that may be loading or loaded
 * @param generation the configuration generation under which this was decided
 * @since 0.1.0
 */
public record LoadRequest(
        SlotId slot,
        ModelName model,
        String version,
        long bytes,
        UpstreamId upstream,
        int decidedReplicas,
        long generation) {

    /** Checks the arguments. */
    public LoadRequest {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(upstream, "upstream");
    }
}
