package org.tarragonring.policy.placement;

import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.upstream.CheckpointTier;

/**
 * A model load that the planner has decided on, with the evictions that make room for it.
 *
 * @param replicaId the replica that loads the model, not null
 * @param model the model to load, not null
 * @param evictions the models to unload first, not null
 * @param tier the storage tier that the replica loads the model from, not null
 * @param expectedDurationMillis the expected duration of the unloads and the load together
 * @param reason the reason for the load, not null
 * @since 0.2.0
 */
public record PlannedLoad(
        UpstreamId replicaId,
        ModelName model,
        List<ModelName> evictions,
        CheckpointTier tier,
        long expectedDurationMillis,
        Reason reason) {

    /** Checks the arguments and copies the list. */
    public PlannedLoad {
        Objects.requireNonNull(replicaId, "replicaId");
        Objects.requireNonNull(model, "model");
        evictions = List.copyOf(evictions);
        Objects.requireNonNull(tier, "tier");
        Objects.requireNonNull(reason, "reason");
    }

    /** The reason for loading a model. The constant names are written to the log. */
    public enum Reason {
        /** Calls are waiting for the model. */
        WAITING_CALLS,
        /** Calls are waiting, and the replica has a local checkpoint from which the load ends before the one in progress. */
        SOONER_CHECKPOINT,
        /** The model is resident on fewer replicas than its load requires. */
        BUSY_MODEL,
        /** The replica has unused memory that the model fits into. */
        FREE_ROOM,
        /** No replica has the checkpoint on disk or in memory, so the first call would wait for the weight store. */
        NO_COPY,
        /** Only one replica has the checkpoint of a busy model, so calls would wait for the store if it were lost. */
        SINGLE_COPY,
        /** The loss of a replica or of a failure domain would cost the model's callers more than a further checkpoint. */
        SPREAD_COPY;

        /** Returns whether the load is for a further checkpoint of the model. */
        boolean isCopy() {
            return this == SINGLE_COPY || this == SPREAD_COPY;
        }

        /** Returns whether calls wait for a model that no replica has. */
        boolean isForWaitingCalls() {
            return this == WAITING_CALLS || this == SOONER_CHECKPOINT;
        }
    }
}
