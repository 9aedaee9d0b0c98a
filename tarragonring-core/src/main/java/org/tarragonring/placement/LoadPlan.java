package org.tarragonring.placement;

import java.time.Duration;
import java.util.List;

import org.tarragonring.ids.SlotId;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Describes how one more replica of a model can be loaded.
 *
 * @param candidate the upstream on which to load the model, not null
 * @param evictions the slots that must be released first, not null
 * @param tier the tier from which the checkpoint is loaded, not null
 * @param expectedDuration the expected duration of the load, evictions included; not null
 * @since 0.1.0
 */
public record LoadPlan(Candidate candidate, List<SlotId> evictions, CheckpointTier tier, Duration expectedDuration) {

    /** Creates a plan with an immutable copy of the evictions. */
    public LoadPlan {
        evictions = List.copyOf(evictions);
    }
}
