package org.tarragonring.placement;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

import org.tarragonring.upstream.CheckpointTier;

/**
 * Estimates load durations from the measured loads of each checkpoint tier, using an exponential moving average. The
 * initial estimates are low, so that calls are attempted rather than refused before the first load is measured.
 *
 * @since 0.1.0
 */
public final class LoadTimeEstimator {

    private static final double SMOOTHING_FACTOR = 0.3;
    private static final double BYTES_PER_GIB = 1L << 30;
    private static final Map<CheckpointTier, Double> INITIAL_MILLIS_PER_GIB =
            Map.of(CheckpointTier.MEMORY, 30.0, CheckpointTier.DISK, 120.0, CheckpointTier.REMOTE, 200.0);

    private final Set<CheckpointTier> measuredTiers = EnumSet.noneOf(CheckpointTier.class);
    private final Map<CheckpointTier, Double> millisPerGib = new EnumMap<>(INITIAL_MILLIS_PER_GIB);

    /**
     * Returns the expected duration of a load.
     *
     * @param tier the tier that holds the checkpoint, not null
     * @param bytes the accelerator memory that the model needs
     * @return the expected duration, never null
     */
    public synchronized Duration estimate(CheckpointTier tier, long bytes) {
        return Duration.ofMillis((long) (millisPerGib.get(tier) * bytes / BYTES_PER_GIB));
    }

    /**
     * Updates the estimate of a tier with a completed load.
     *
     * @param tier the tier that held the checkpoint, not null
     * @param bytes the accelerator memory that the model needs; the load is ignored if this is not positive
     * @param duration the duration of the load, not null
     */
    public synchronized void recordLoad(CheckpointTier tier, long bytes, Duration duration) {
        if (bytes > 0) {
            double measured = duration.toMillis() * BYTES_PER_GIB / bytes;
            boolean first = measuredTiers.add(tier);
            millisPerGib.merge(
                    tier,
                    measured,
                    (previous, latest) -> first ? latest : previous + SMOOTHING_FACTOR * (latest - previous));
        }
    }
}
