package org.tarragonring.policy.placement;

import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.upstream.CheckpointTier;

/**
 * A load that the planner decided.
 *
 * @param replica where to load, not null
 * @param model what to load, not null
 * @param evict what to unload first, not null
 * @param tier from where the replica loads it, not null
 * @param expectedMillis how long the unloads and the load are expected to take
 * @param reason why, not null
 * @since 0.2.0
 */
public record PlacementMove(
        UpstreamId replica,
        ModelName model,
        List<ModelName> evict,
        CheckpointTier tier,
        long expectedMillis,
        Reason reason) {

    /** Checks the arguments and copies the list. */
    public PlacementMove {
        Objects.requireNonNull(replica, "replica");
        Objects.requireNonNull(model, "model");
        evict = List.copyOf(evict);
        Objects.requireNonNull(tier, "tier");
        Objects.requireNonNull(reason, "reason");
    }

    /** Why a model is loaded. */
    public enum Reason {
        /** Calls wait for it. */
        WAITING_CALLS,
        /** Its replicas run more calls than they should. */
        BUSY_MODEL,
        /** The replica has room for it that nothing uses. */
        FREE_ROOM,
        /** No replica has a copy of it, so that a first call would wait for the weight store. */
        NO_COPY,
        /** Many call it and one replica alone has a copy, so that calls would wait for the store if that one left. */
        SINGLE_COPY
    }
}
