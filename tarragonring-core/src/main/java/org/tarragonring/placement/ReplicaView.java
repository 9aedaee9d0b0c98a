package org.tarragonring.placement;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * Describes a replica from the point of view of its model's coordinator.
 *
 * @param slot the replica's slot, not null
 * @param upstream the upstream on which the replica is, not null
 * @param version the model's version, not null
 * @param loaded whether the replica is loaded
 * @param usable whether calls may be sent to the replica once it is loaded; false if it is being released, if its load
 *     was abandoned, or if its upstream is unreachable or accepts no new work
 * @param readyAtMillis the time at which the load is expected to end, in milliseconds on the monotonic clock
 * @since 0.1.0
 */
public record ReplicaView(
        SlotId slot, UpstreamId upstream, String version, boolean loaded, boolean usable, long readyAtMillis) {

    /** Rejects null components. */
    public ReplicaView {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the expected time until the replica is loaded; zero if it is loaded, otherwise at least the minimum. */
    Duration eta(long nowMillis, Duration minimum) {
        if (loaded) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Math.max(minimum.toMillis(), readyAtMillis - nowMillis));
    }
}
