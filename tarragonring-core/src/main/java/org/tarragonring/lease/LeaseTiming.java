package org.tarragonring.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * The times that govern leases and orders.
 *
 * @param duration how long a lease holds after the moment before its renewal was sent, not null
 * @param renewal the time between renewals, not null
 * @param orderValidity the longest time from an order's lease check until the engine has taken or dropped it, not
 *     null
 * @since 0.1.0
 */
public record LeaseTiming(Duration duration, Duration renewal, Duration orderValidity) {

    /** Times that suit one platform write in five seconds from each entry. */
    public static final LeaseTiming DEFAULT =
            new LeaseTiming(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(3));

    /** Checks that renewals come before the lease ends. */
    public LeaseTiming {
        Objects.requireNonNull(orderValidity, "orderValidity");
        if (renewal.compareTo(duration) >= 0) {
            throw new IllegalArgumentException(
                    "lease renewal %s is not shorter than lease duration %s".formatted(renewal, duration));
        }
    }

    /**
     * Returns how long an order of an unknown holder may still arrive after its record was changed under it.
     *
     * @return the lease duration and the order validity together
     */
    public Duration longestLateOrder() {
        return duration.plus(orderValidity);
    }
}
