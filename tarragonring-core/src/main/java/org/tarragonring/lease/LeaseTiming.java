package org.tarragonring.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * The timing of leases and of the orders that entries send to engines under a lease.
 *
 * @param duration the time for which a lease is valid, from just before its renewal request is sent; not null
 * @param renewalInterval the time between two renewals, which must be shorter than the duration; not null
 * @param orderValidity the maximum time from the lease check of an order until the engine accepts or discards it, not
 *     null
 * @since 0.1.0
 */
public record LeaseTiming(Duration duration, Duration renewalInterval, Duration orderValidity) {

    /** Timing that results in one write to the platform's object store per entry every five seconds. */
    public static final LeaseTiming DEFAULT =
            new LeaseTiming(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(3));

    /** Rejects null components and a renewal interval that is not shorter than the lease duration. */
    public LeaseTiming {
        Objects.requireNonNull(orderValidity, "orderValidity");
        if (renewalInterval.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("lease renewal interval %s must be shorter than lease duration %s"
                    .formatted(renewalInterval, duration));
        }
    }

    /**
     * Returns the maximum time for which an order of an unknown lease holder can still arrive after another entry
     * changed the record that the order is based on.
     *
     * @return the sum of the lease duration and the order validity, never null
     */
    public Duration maxOrderDelay() {
        return duration.plus(orderValidity);
    }
}
