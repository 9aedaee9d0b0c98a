package org.tarragonring.gateway.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How calls of many entries spread over simulated replicas, with reports, digests and the choice together. */
class UnevenRoutingTest {

    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final List<FleetSimulation.Kind> PLAIN = List.of(new FleetSimulation.Kind("book", 0, 60, 148));

    private static FleetSimulation unevenFleet(boolean bySpeed) {
        return new FleetSimulation(7, 60, UnevenRoutingMeasurement.quarterSlow(24), 2, false, bySpeed);
    }

    // Guards against slow replicas that get as many calls as fast ones, and against their starvation.
    @Test
    void quarterOfReplicasAtLessThanHalfSpeedWithEntriesThatSeeOneCallASecond() {
        double inTimeBefore;
        double meanMillisBefore;
        try (FleetSimulation fleet = unevenFleet(false)) {
            fleet.run(WARM_UP, 60, UnevenRoutingMeasurement.KINDS);
            fleet.ended.clear();
            fleet.run(Duration.ofSeconds(15), 60, UnevenRoutingMeasurement.KINDS);
            inTimeBefore = fleet.shareInTime(0, 24);
            meanMillisBefore = fleet.meanMillis();
        }
        try (FleetSimulation fleet = unevenFleet(true)) {
            fleet.run(WARM_UP, 60, UnevenRoutingMeasurement.KINDS);
            fleet.ended.clear();
            fleet.run(Duration.ofSeconds(15), 60, UnevenRoutingMeasurement.KINDS);
            assertTrue(fleet.speeds.differ(FleetSimulation.SERVICE));
            for (int i = 18; i < 24; i++) {
                assertTrue(fleet.speedOf(i) < 0.8, "speed of slow replica " + i + " is " + fleet.speedOf(i));
                assertTrue(fleet.callsPerReplica(i, i + 1) > 0, "slow replica " + i + " got no call");
            }
            assertTrue(fleet.callsPerReplica(18, 24) < 0.6 * fleet.callsPerReplica(0, 18));
            assertTrue(fleet.shareInTime(0, 24) > inTimeBefore + 0.02, fleet.shareInTime(0, 24) + " in time");
            assertTrue(fleet.shareInTime(0, 24) > 0.97, fleet.shareInTime(0, 24) + " in time");
            assertTrue(fleet.meanMillis() < 0.85 * meanMillisBefore, fleet.meanMillis() + " ms");
        }
    }

    // Guards against a change of the choice in fleets without slow replicas, also at high load.
    @Test
    void evenReplicasCauseNoDigestsSoThatTheChoiceStaysAsBefore() {
        for (int seed = 1; seed <= 4; seed++) {
            double callsPerSecond = 25 * seed;
            try (FleetSimulation fleet = new FleetSimulation(seed, 60, Collections.nCopies(24, 1.0), 2, false, true)) {
                fleet.run(Duration.ofSeconds(20), callsPerSecond, UnevenRoutingMeasurement.KINDS);
                assertEquals(0, fleet.digests, "digests at " + callsPerSecond + " calls a second");
            }
        }
    }

    // Guards against a replica that keeps its share of calls for long after it has turned slow, or for ever none.
    @Test
    void replicaThatTurnsFiveTimesSlowerIsAvoidedWithinTwoSecondsAndUsedAgain() {
        try (FleetSimulation fleet = unevenFleet(true)) {
            fleet.run(WARM_UP, 60, UnevenRoutingMeasurement.KINDS);
            fleet.engines.get(3).speed = 0.2;
            fleet.run(Duration.ofSeconds(2), 60, UnevenRoutingMeasurement.KINDS);
            assertTrue(fleet.speedOf(3) < 0.6, "speed after 2 s: " + fleet.speedOf(3));
            fleet.run(Duration.ofSeconds(4), 60, UnevenRoutingMeasurement.KINDS);
            assertTrue(fleet.speedOf(3) < 0.4, "speed after 6 s: " + fleet.speedOf(3));

            fleet.engines.get(3).speed = 1;
            fleet.run(Duration.ofSeconds(8), 60, UnevenRoutingMeasurement.KINDS);
            assertTrue(fleet.speedOf(3) > 0.7, "speed 8 s after recovery: " + fleet.speedOf(3));
        }
    }

    // Guards against calls that wait at an instance in a slow period while others are idle.
    @Test
    void instancesOfAPlainServiceWithSlowPeriodsOf600Millis() {
        double before = plainMillisWithSlowPeriods(false);
        double after = plainMillisWithSlowPeriods(true);
        assertTrue(after < 0.97 * before, "mean duration " + before + " ms before and " + after + " ms after");
    }

    private static double plainMillisWithSlowPeriods(boolean bySpeed) {
        try (FleetSimulation fleet = new FleetSimulation(3, 60, List.of(1.0, 1.0, 1.0), 1, true, bySpeed)) {
            fleet.run(Duration.ofSeconds(8), 60, PLAIN);
            fleet.ended.clear();
            for (int period = 0; period < 12; period++) {
                fleet.engines.get(period % 3).speed = 0.4;
                fleet.run(Duration.ofMillis(600), 60, PLAIN);
                fleet.engines.get(period % 3).speed = 1;
                fleet.run(Duration.ofMillis(740), 60, PLAIN);
            }
            return fleet.meanMillis();
        }
    }

    // Guards against a plain service without slow periods that is routed in another way than before.
    @Test
    void evenInstancesOfAPlainServiceCauseNoDigests() {
        try (FleetSimulation fleet = new FleetSimulation(4, 80, List.of(1.0, 1.0, 1.0), 1, true, true)) {
            fleet.run(Duration.ofSeconds(30), 31, PLAIN);
            assertEquals(0, fleet.digests);
        }
    }

    // Guards against decisions on old digests, and against dependence on each single one.
    @Test
    void lostDigests() {
        try (FleetSimulation fleet = unevenFleet(true)) {
            fleet.digestLoss = 0.3;
            fleet.run(WARM_UP, 60, UnevenRoutingMeasurement.KINDS);
            fleet.ended.clear();
            fleet.run(Duration.ofSeconds(10), 60, UnevenRoutingMeasurement.KINDS);
            assertTrue(fleet.callsPerReplica(18, 24) < 0.6 * fleet.callsPerReplica(0, 18));

            fleet.digestLoss = 1;
            fleet.run(Duration.ofSeconds(2), 60, UnevenRoutingMeasurement.KINDS);
            for (FleetSimulation.Entry entry : fleet.entries) {
                assertFalse(entry.view.differs(FleetSimulation.id(20)));
            }
        }
    }

    // Guards against a new planning entry that takes all replicas for equally fast until it has seen enough calls.
    @Test
    void restartOfThePlanningEntry() {
        try (FleetSimulation fleet = unevenFleet(true)) {
            fleet.run(WARM_UP, 60, UnevenRoutingMeasurement.KINDS);
            List<Double> known = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                known.add(fleet.speedOf(i));
            }
            fleet.startPlanning(fleet.entries.get(9));
            fleet.run(Duration.ofMillis(500), 60, UnevenRoutingMeasurement.KINDS);

            assertTrue(fleet.speeds.differ(FleetSimulation.SERVICE));
            for (int i = 18; i < 24; i++) {
                assertTrue(fleet.speedOf(i) < 0.85, "slow replica " + i + " was " + known.get(i));
            }
        }
    }
}
