package org.tarragonring.policy.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/**
 * Selects the replicas that the next digest names, as a digest has a limited size: those whose load or speed has changed
 * most since they were last named, then the most loaded ones; and in turns those without changes, as digests may be lost.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class DigestSelection {

    /** The change of speed, in percent, that counts as much as one call. */
    private static final int SPEED_PERCENT_PER_CALL = 10;

    /** The time since a replica was last named that counts as much as a change by one call. */
    private static final double AGE_MILLIS_PER_CALL = 1_000;

    private final MonotonicClock clock;
    private final Map<UpstreamId, Sent> sent = new HashMap<>();

    /**
     * Creates an instance that has selected nothing yet.
     *
     * @param clock the monotonic clock, not null
     */
    public DigestSelection(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Selects what the next digest names. Replicas that are not in {@code current} are forgotten.
     *
     * @param current the load and speed of all replicas that may be named, not null
     * @param limit the maximum number of replicas, 0 or more
     * @return the selected ones, the most urgent first
     */
    public List<Item> select(Collection<Item> current, int limit) {
        sent.keySet().retainAll(current.stream().map(Item::replica).collect(Collectors.toSet()));
        List<Item> selected = current.stream()
                .sorted(Comparator.comparingDouble(this::urgency)
                        .thenComparingInt(Item::inFlight)
                        .reversed())
                .limit(limit)
                .toList();
        selected.forEach(item -> sent.put(item.replica, new Sent(clock.millis(), item)));
        return selected;
    }

    private double urgency(Item item) {
        Sent last = sent.get(item.replica);
        if (last == null) {
            return Double.MAX_VALUE;
        }
        return Math.abs(item.inFlight - last.item.inFlight)
                + Math.abs(item.speedPercent - last.item.speedPercent) / (double) SPEED_PERCENT_PER_CALL
                + (clock.millis() - last.millis) / AGE_MILLIS_PER_CALL;
    }

    /**
     * The load of a replica.
     *
     * @param replica the replica, not null
     * @param inFlight the number of calls of all entries
     * @param speedPercent the speed in percent of the usual one, 0 if the replicas of its service do not differ
     */
    public record Item(UpstreamId replica, int inFlight, int speedPercent) {

        /** Rejects null. */
        public Item {
            Objects.requireNonNull(replica, "replica");
        }
    }

    private record Sent(long millis, Item item) {}
}
