package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * How quickly the speeds of a kind of replica are followed, and when replicas count as different.
 *
 * @param decay the time in which the weight of a sample falls to 37%, not null
 * @param onDelay how long the replicas must have differed before their speeds are used, not null
 * @param offDelay how long they must have been equal before their speeds are no longer used, not null
 * @since 0.2.0
 */
public record SpeedRule(Duration decay, Duration onDelay, Duration offDelay) {

    /** Engines: about five samples a second and replica give an estimate to within a tenth after two seconds. */
    public static final SpeedRule ENGINE =
            new SpeedRule(Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ofSeconds(5));

    /** Plain services: their slow periods last some hundred milliseconds. */
    public static final SpeedRule PLAIN = new SpeedRule(Duration.ofMillis(250), Duration.ZERO, Duration.ofMillis(500));

    /** Rejects null. */
    public SpeedRule {
        Objects.requireNonNull(decay, "decay");
        Objects.requireNonNull(onDelay, "onDelay");
        Objects.requireNonNull(offDelay, "offDelay");
    }
}
