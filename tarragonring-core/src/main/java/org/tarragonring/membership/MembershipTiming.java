package org.tarragonring.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Configures the timing of failure detection.
 *
 * @param probePeriod the interval between two probes, not null
 * @param probeTimeout the time to wait for an acknowledgement, first of the direct probe and then of the indirect
 *     probes, not null; at most half of the probe period
 * @param suspicionTimeout the time that a suspected entry has to refute the suspicion before it is declared dead, not
 *     null
 * @param indirectProbeCount the maximum number of other entries that are requested to probe an entry that does not
 *     respond
 * @since 0.1.0
 */
public record MembershipTiming(
        Duration probePeriod, Duration probeTimeout, Duration suspicionTimeout, int indirectProbeCount) {

    /** The default timing, which detects a dead entry within a few seconds. */
    public static final MembershipTiming DEFAULT =
            new MembershipTiming(Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofSeconds(4), 3);

    /**
     * Checks that a probe has ended before the next one begins.
     *
     * @throws IllegalArgumentException if the probe timeout is more than half of the probe period
     */
    public MembershipTiming {
        Objects.requireNonNull(suspicionTimeout, "suspicionTimeout");
        if (probeTimeout.multipliedBy(2).compareTo(probePeriod) > 0) {
            throw new IllegalArgumentException(
                    "probe timeout %s is more than half of probe period %s".formatted(probeTimeout, probePeriod));
        }
    }
}
