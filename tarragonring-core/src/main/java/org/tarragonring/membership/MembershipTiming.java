package org.tarragonring.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * The times of failure detection.
 *
 * @param probePeriod the time between two probes, not null
 * @param probeTimeout how long to wait for an answer before others are asked to probe, not null
 * @param suspicion how long a suspected entry has to refute, not null
 * @param indirectProbes how many others are asked to probe
 * @since 0.1.0
 */
public record MembershipTiming(Duration probePeriod, Duration probeTimeout, Duration suspicion, int indirectProbes) {

    /** Times that find a dead entry in a few seconds. */
    public static final MembershipTiming DEFAULT =
            new MembershipTiming(Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofSeconds(4), 3);

    /** Checks that a probe ends before the next begins. */
    public MembershipTiming {
        Objects.requireNonNull(suspicion, "suspicion");
        if (probeTimeout.multipliedBy(2).compareTo(probePeriod) > 0) {
            throw new IllegalArgumentException(
                    "probe timeout %s is more than half of probe period %s".formatted(probeTimeout, probePeriod));
        }
    }
}
