package org.tarragonring.policy.routing;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReplicaSpeedsTest {

    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final int REPLICAS = 16;

    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(1);
    private final ReplicaSpeeds speeds = new ReplicaSpeeds(clock);

    private static UpstreamId id(int replica) {
        return new UpstreamId("r" + replica);
    }

    /** Reports three samples a second of each replica for some seconds, with noise. */
    private void report(int seconds, double slowRatio, int fastLoad, int slowLoad) {
        for (int i = 0; i < seconds * 2; i++) {
            clock.nowMillis += 500;
            for (int replica = 0; replica < REPLICAS; replica++) {
                boolean isSlow = replica >= REPLICAS * 3 / 4;
                int load = (isSlow ? slowLoad : fastLoad) + random.nextInt(4);
                double ratio = (isSlow ? slowRatio : 1) * (1 + load / 24.0) * Math.exp(random.nextGaussian() * 0.2);
                speeds.record(SERVICE, SpeedRule.ENGINE, id(replica), load, 2, ratio);
            }
            speeds.update(SERVICE, REPLICAS);
        }
    }

    @Test
    void slowReplicasAreFoundAndFastOnesCountAsUsual() {
        report(10, 1 / 0.46, 6, 6);

        assertTrue(speeds.differ(SERVICE));
        assertEquals(0.46, speeds.speedOf(id(REPLICAS - 1)), 0.12);
        assertEquals(1, speeds.speedOf(id(0)), 0.2);
    }

    // Guards against slow replicas that count as usual once they get fewer calls than the fast ones.
    @Test
    void lessLoadDoesNotHideThatAReplicaIsSlow() {
        report(10, 1 / 0.46, 12, 1);
        assertTrue(speeds.speedOf(id(REPLICAS - 1)) < 0.65, "speed " + speeds.speedOf(id(REPLICAS - 1)));
    }

    // Guards against busy replicas that count as slow, and get fewer calls for it.
    @Test
    void moreLoadAloneIsNoDifferenceOfSpeed() {
        report(20, 1, 2, 12);
        assertFalse(speeds.differ(SERVICE));
        assertEquals(1, speeds.speedOf(id(REPLICAS - 1)));
    }

    @Test
    void speedsAreNotUsedWhileFewAreKnown() {
        for (int i = 0; i < 40; i++) {
            clock.nowMillis += 250;
            for (int replica = 0; replica < 7; replica++) {
                speeds.record(SERVICE, SpeedRule.ENGINE, id(replica), 3, 2, replica == 0 ? 3 : 1);
            }
            speeds.update(SERVICE, REPLICAS);
        }
        assertFalse(speeds.differ(SERVICE));
        assertEquals(1, speeds.speedOf(id(0)));
    }

    @Test
    void replicasThatBecomeEqualAreRoutedAsBeforeAgain() {
        report(10, 3, 6, 6);
        assertTrue(speeds.differ(SERVICE));
        report(25, 1, 6, 6);
        assertFalse(speeds.differ(SERVICE));
    }

    // Guards against a replica that gets no calls because it was slow long ago.
    @Test
    void estimateWithoutSamplesReturnsToTheUsualSpeed() {
        report(10, 3, 6, 6);
        double before = speeds.estimate(id(REPLICAS - 1)).orElseThrow();
        clock.nowMillis += 12_000;
        assertTrue(speeds.estimate(id(REPLICAS - 1)).orElseThrow() > before * 1.5);
        clock.nowMillis += 10_000;
        assertTrue(speeds.estimate(id(REPLICAS - 1)).isEmpty());
    }

    @Test
    void restartedReplicaIsUnknown() {
        report(10, 3, 6, 6);
        speeds.forget(id(REPLICAS - 1));
        assertEquals(1, speeds.speedOf(id(REPLICAS - 1)));
    }

    @Test
    void impossibleRatiosAreIgnored() {
        for (double ratio : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            speeds.record(SERVICE, SpeedRule.ENGINE, id(1), 1, 1, ratio);
        }
        speeds.record(SERVICE, SpeedRule.ENGINE, id(1), 1, 0, 1);
        assertTrue(speeds.services().isEmpty());
    }
}
