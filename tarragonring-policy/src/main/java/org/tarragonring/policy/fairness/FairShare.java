package org.tarragonring.policy.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Divides a capacity by weighted max-min fairness: who asks for less than its weighted part gets what it asks for, and the
 * others divide the rest by weight.
 *
 * @since 0.2.0
 */
public final class FairShare {

    private FairShare() {}

    /**
     * Computes the shares.
     *
     * @param <K> the type of the keys
     * @param capacity the capacity to divide, 0 or more
     * @param claims the claims, not null; the key of each occurs once
     * @return the share of each claim, never above its demand; the sum is the capacity, or that of the demands if it is less
     */
    public static <K> Map<K, Double> divide(double capacity, List<Claim<K>> claims) {
        if (!(capacity >= 0)) {
            throw new IllegalArgumentException("capacity must be 0 or more, but is " + capacity);
        }
        List<Claim<K>> ordered = new ArrayList<>(claims);
        ordered.sort(Comparator.comparingDouble(claim -> claim.demand / claim.weight));
        double remainingWeight = ordered.stream().mapToDouble(Claim::weight).sum();
        double remaining = capacity;
        Map<K, Double> shares = new HashMap<>();
        for (Claim<K> claim : ordered) {
            double part = Math.max(0, remaining) * Math.min(1, claim.weight / remainingWeight);
            double share = Math.min(claim.demand, part);
            shares.put(claim.key, share);
            remaining -= share;
            remainingWeight -= claim.weight;
        }
        return shares;
    }

    /**
     * A claim to a part of the capacity.
     *
     * @param key identifies the claim, not null
     * @param demand what is asked for, 0 or more
     * @param weight the weight relative to the other claims, above 0
     */
    public record Claim<K>(K key, double demand, double weight) {

        /** Checks the arguments. */
        public Claim {
            Objects.requireNonNull(key, "key");
            if (!(demand >= 0 && demand < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException("demand must be 0 or more, but is " + demand);
            }
            if (!(weight > 0 && weight < Double.POSITIVE_INFINITY)) {
                throw new IllegalArgumentException("weight must be above 0, but is " + weight);
            }
        }
    }
}
