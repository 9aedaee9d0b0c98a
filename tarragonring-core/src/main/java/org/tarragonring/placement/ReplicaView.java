package org.tarragonring.placement;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * A replica as its model's home sees it.
 *
 * @param slot the placement, not null
 * @param upstream the upstream, not null
 * @param version the model's version, not null
 * @param loaded whether it is loaded
 * @param usable whether its upstream may get new work
 * @param readyAtMillis when its load is expected to end, on the monotonic clock
 * @since 0.1.0
 */
public record ReplicaView(
        SlotId slot, UpstreamId upstream, String version, boolean loaded, boolean usable, long readyAtMillis) {

    /** Checks the arguments. */
    public ReplicaView {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(version, "version");
    }

    Duration eta(long nowMillis, Duration atLeast) {
        if (loaded) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Math.max(atLeast.toMillis(), readyAtMillis - nowMillis));
    }
}
