package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * One placement of a model.
 *
 * @param id the placement's id, not null
 * @param upstream where the model is placed, not null
 * @param version the model's version, not null
 * @since 0.1.0
 */
public record Slot(SlotId id, UpstreamId upstream, String version) {

    /** Checks the arguments. */
    public Slot {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(version, "version");
    }
}
