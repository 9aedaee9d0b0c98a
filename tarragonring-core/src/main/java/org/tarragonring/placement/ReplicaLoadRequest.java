package org.tarragonring.placement;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * Requests the load of one more replica of a model.
 *
 * @param slot the id of the new slot, not null
 * @param model the model's name, not null
 * @param version the model's version, not null
 * @param bytes the accelerator memory that the model needs, its adapter pool included
 * @param upstream the upstream on which to load the model, not null
 * @param decidedReplicas the maximum number of replicas that may be loading or loaded
 * @param generation the configuration generation on which the request is based
 * @since 0.1.0
 */
public record ReplicaLoadRequest(
        SlotId slot,
        ModelName model,
        String version,
        long bytes,
        UpstreamId upstream,
        int decidedReplicas,
        long generation) {

    /** Rejects null components. */
    public ReplicaLoadRequest {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(upstream, "upstream");
    }
}
