package org.tarragonring.placement;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

import org.tarragonring.upstream.CheckpointTier;

/**
 * Learns how long loads take from each checkpoint tier. Before the first load the estimate is low, so that calls are
 * rather tried than refused.
 *
 * @since 0.1.0
 */
public final class LoadTimes {

    private static final double SMOOTHING = 0.3;
    private static final double GIB = 1L << 30;
    private static final Map<CheckpointTier, Double> INITIAL_MILLIS_PER_GIB =
            Map.of(CheckpointTier.MEMORY, 30.0, CheckpointTier.DISK, 120.0, CheckpointTier.REMOTE, 200.0);

    private final Set<CheckpointTier> learned = EnumSet.noneOf(CheckpointTier.class);
    private final Map<CheckpointTier, Double> millisPerGib = new EnumMap<>(INITIAL_MILLIS_PER_GIB);

    /**
     * Estimates a load.
     *
     * @param tier where the checkpoint is, not null
     * @param bytes the memory that the model takes
     * @return the expected time
     */
    public synchronized Duration estimate(CheckpointTier tier, long bytes) {
        return Duration.ofMillis((long) (millisPerGib.get(tier) * bytes / GIB));
    }

    /**
     * Takes a finished load into account.
     *
     * @param tier where the checkpoint was, not null
     * @param bytes the memory that the model takes
     * @param took how long the load took, not null
     */
    public synchronized void loaded(CheckpointTier tier, long bytes, Duration took) {
        if (bytes > 0) {
            double seen = took.toMillis() * GIB / bytes;
            boolean first = learned.add(tier);
            millisPerGib.merge(tier, seen, (old, now) -> first ? now : old + SMOOTHING * (now - old));
        }
    }
}
