package org.tarragonring.routing;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks a target: the one that the request's prefix belongs to while it is not much busier than others, else the
 * less busy of two drawn at random.
 *
 * @since 0.1.0
 */
public final class TargetPicker {

    /** The prefix hash of a request that has no prefix worth keeping together. */
    public static final long NO_PREFIX = 0;

    private static final int AFFINITY_SLACK_CALLS = 4;
    private static final int DRAWS = 8;

    private final RandomGenerator random;

    /**
     * Creates a picker.
     *
     * @param random draws targets, not null; must be safe for use by several threads
     */
    public TargetPicker(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Picks a target.
     *
     * @param targets the targets, not null
     * @param prefixHash the hash of the request's prefix, {@link #NO_PREFIX} if there is none
     * @param capacity the calls that one target takes at once
     * @param allowed says which targets may be picked, not null
     * @return the target, or null if none is allowed and has room
     */
    public Target pick(Target[] targets, long prefixHash, int capacity, Predicate<Target> allowed) {
        Target drawn = draw(targets, capacity, allowed);
        if (drawn == null || prefixHash == NO_PREFIX) {
            return drawn;
        }
        Target preferred = preferred(targets, prefixHash, allowed);
        boolean busier = preferred == null
                || preferred.inFlight() >= capacity
                || preferred.inFlight() > drawn.inFlight() + AFFINITY_SLACK_CALLS;
        return busier ? drawn : preferred;
    }

    private Target draw(Target[] targets, int capacity, Predicate<Target> allowed) {
        Target first = null;
        for (int i = 0; i < DRAWS && targets.length > 0; i++) {
            Target candidate = targets[random.nextInt(targets.length)];
            if (candidate == first || candidate.inFlight() >= capacity || !allowed.test(candidate)) {
                continue;
            }
            if (first == null) {
                first = candidate;
            } else {
                return candidate.inFlight() < first.inFlight() ? candidate : first;
            }
        }
        return first == null ? leastBusy(targets, capacity, allowed) : first;
    }

    private static Target leastBusy(Target[] targets, int capacity, Predicate<Target> allowed) {
        Target best = null;
        for (Target candidate : targets) {
            boolean better = best == null || candidate.inFlight() < best.inFlight();
            if (better && candidate.inFlight() < capacity && allowed.test(candidate)) {
                best = candidate;
            }
        }
        return best;
    }

    private static Target preferred(Target[] targets, long prefixHash, Predicate<Target> allowed) {
        Target best = null;
        long bestAffinity = Long.MIN_VALUE;
        for (Target candidate : targets) {
            long affinity = candidate.affinity(prefixHash);
            if (affinity >= bestAffinity && allowed.test(candidate)) {
                best = candidate;
                bestAffinity = affinity;
            }
        }
        return best;
    }
}
