package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * A slot: the place of one model replica on an upstream.
 *
 * @param id the slot's id, not null
 * @param upstream the upstream on which the replica is placed, not null
 * @param version the version of the model, not null
 * @since 0.1.0
 */
public record Slot(SlotId id, UpstreamId upstream, String version) {

    /** Rejects null components. */
    public Slot {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(version, "version");
    }
}
