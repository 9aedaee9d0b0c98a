package org.tarragonring.routing;

import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks a target for a request. Prefers the target to which the hash of the request's prefix maps, as long as that
 * target is not much busier than others. Otherwise picks the less busy of two random targets.
 *
 * @since 0.1.0
 */
public final class TargetPicker {

    /** The prefix hash of a request without a prefix that determines its target. */
    public static final long NO_PREFIX = 0;

    private static final int MAX_AFFINITY_EXTRA_CALLS = 4;
    private static final int MAX_SAMPLES = 8;

    private final RandomGenerator random;

    /**
     * Creates a picker.
     *
     * @param random the source of random numbers, which must be thread-safe; not null
     */
    public TargetPicker(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Picks a target for a request.
     *
     * @param targets the targets, not null
     * @param prefixHash the hash of the request's prefix, {@link #NO_PREFIX} if there is none
     * @param capacity the maximum number of calls in flight on one target
     * @param allowed tests whether a target may be picked, not null
     * @return the target, or null if no allowed target has capacity left
     */
    public Target pick(Target[] targets, long prefixHash, int capacity, Predicate<Target> allowed) {
        Target lessBusy = pickLessBusyOfTwo(targets, capacity, allowed);
        if (lessBusy == null || prefixHash == NO_PREFIX) {
            return lessBusy;
        }
        Target preferred = preferredByAffinity(targets, prefixHash, allowed);
        boolean useLessBusy = preferred == null
                || preferred.inFlight() >= capacity
                || preferred.inFlight() > lessBusy.inFlight() + MAX_AFFINITY_EXTRA_CALLS;
        return useLessBusy ? lessBusy : preferred;
    }

    private Target pickLessBusyOfTwo(Target[] targets, int capacity, Predicate<Target> allowed) {
        Target first = null;
        for (int i = 0; i < MAX_SAMPLES && targets.length > 0; i++) {
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

    private static Target preferredByAffinity(Target[] targets, long prefixHash, Predicate<Target> allowed) {
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
