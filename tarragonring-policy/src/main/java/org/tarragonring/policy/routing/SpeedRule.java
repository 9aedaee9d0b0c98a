package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * How quickly the speeds of a kind of replica are followed, and when replicas count as different.
 *
 * @param decay the time in which the weight of a sample falls to 37%, not null
 * @param fresh how long an estimate stays as it is without samples, not null; then it returns to the usual speed with twice
 *     this time constant, so that the replica is tried again
 * @param onDelay how long the replicas must have differed before their speeds are used, not null
 * @param offDelay how long they must have been equal before their speeds are no longer used, not null
 * @since 0.2.0
 */
public record SpeedRule(Duration decay, Duration fresh, Duration onDelay, Duration offDelay) {

    /**
     * Engines: about three samples a second and replica give an estimate to within a tenth. Larger changes of speed count
     * at once, whatever the decay is ({@link SpeedEstimate}).
     */
    public static final SpeedRule ENGINE =
            new SpeedRule(Duration.ofSeconds(6), Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5));

    /** Plain services: their slow periods last some hundred milliseconds, in which an instance ends about ten calls. */
    public static final SpeedRule PLAIN =
            new SpeedRule(Duration.ofMillis(120), Duration.ofMillis(300), Duration.ZERO, Duration.ofMillis(500));

    /** Rejects null. */
    public SpeedRule {
        Objects.requireNonNull(decay, "decay");
        Objects.requireNonNull(fresh, "fresh");
        Objects.requireNonNull(onDelay, "onDelay");
        Objects.requireNonNull(offDelay, "offDelay");
    }
}
