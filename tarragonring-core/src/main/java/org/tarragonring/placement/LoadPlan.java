package org.tarragonring.placement;

import java.time.Duration;
import java.util.List;

import org.tarragonring.ids.SlotId;
import org.tarragonring.upstream.CheckpointTier;

/**
 * A way to load one more replica.
 *
 * @param candidate where, not null
 * @param evictions the placements that must be freed first, not null
 * @param tier where the checkpoint is, not null
 * @param expected how long the load is expected to take, not null
 * @since 0.1.0
 */
public record LoadPlan(Candidate candidate, List<SlotId> evictions, CheckpointTier tier, Duration expected) {

    /** Copies the list. */
    public LoadPlan {
        evictions = List.copyOf(evictions);
    }
}
