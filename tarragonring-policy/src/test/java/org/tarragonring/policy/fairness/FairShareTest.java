package org.tarragonring.policy.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tarragonring.policy.fairness.FairShare.Claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FairShareTest {

    private static final double TOLERANCE = 1e-6;

    // Guards against shares by demand, by which a team gets more the more it sends.
    @Test
    void teamThatSendsFiveTimesItsUsualTakesNothingFromTheOthers() {
        Map<String, Double> shares = FairShare.divide(
                400, List.of(new Claim<>("a", 100, 1), new Claim<>("b", 100, 1), new Claim<>("loud", 500, 1)));

        assertEquals(Map.of("a", 100.0, "b", 100.0, "loud", 200.0), shares);
    }

    @Test
    void whatASmallTeamLeavesIsDividedByWeight() {
        Map<String, Double> shares = FairShare.divide(
                100, List.of(new Claim<>("small", 10, 1), new Claim<>("b", 100, 1), new Claim<>("c", 100, 2)));

        assertEquals(10, shares.get("small"));
        assertEquals(30, shares.get("b"), TOLERANCE);
        assertEquals(60, shares.get("c"), TOLERANCE);
    }

    @Test
    void withoutCapacityNobodyGetsAnything() {
        assertEquals(Map.of("a", 0.0), FairShare.divide(0, List.of(new Claim<>("a", 5, 1))));
        assertEquals(Map.of(), FairShare.divide(10, List.of()));
    }

    @Test
    void invalidArgumentsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> FairShare.divide(Double.NaN, List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Claim<>("a", -1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Claim<>("a", 1, 0));
    }

    @Property(tries = 500, seed = "11")
    void noTeamIsBelowItsShareWhileAnotherIsAboveItsOwn(
            @ForAll @Size(max = 20) List<@DoubleRange(max = 1_000) Double> demands,
            @ForAll @Size(20) List<@DoubleRange(min = 0.1, max = 10) Double> weights,
            @ForAll @DoubleRange(max = 10_000) double capacity) {
        List<Claim<Integer>> claims = new ArrayList<>();
        for (int i = 0; i < demands.size(); i++) {
            claims.add(new Claim<>(i, demands.get(i), weights.get(i)));
        }
        Map<Integer, Double> shares = FairShare.divide(capacity, claims);
        double total = 0;
        for (Claim<Integer> claim : claims) {
            double share = shares.get(claim.key());
            assertTrue(share >= 0 && share <= claim.demand());
            total += share;
            if (share < claim.demand() - TOLERANCE) {
                // Whoever gets less than it asks for gets as much by weight as anybody else.
                for (Claim<Integer> other : claims) {
                    assertTrue(shares.get(other.key()) / other.weight() <= share / claim.weight() + TOLERANCE);
                }
            }
        }
        double demand = demands.stream().mapToDouble(Double::doubleValue).sum();
        assertEquals(Math.min(capacity, demand), total, TOLERANCE * (1 + total));
    }
}
