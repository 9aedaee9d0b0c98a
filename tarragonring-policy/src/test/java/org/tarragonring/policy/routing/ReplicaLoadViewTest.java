package org.tarragonring.policy.routing;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReplicaLoadViewTest {

    private static final UpstreamId REPLICA = new UpstreamId("replica-1");

    private final ManualClock clock = new ManualClock();
    private final ReplicaLoadView view = new ReplicaLoadView(clock);

    private void receive(int inFlight, int speedPercent) {
        view.onDigest();
        view.put(ReplicaLoadView.hash(REPLICA), inFlight, speedPercent);
    }

    @Test
    void ownCallsOfTheLastReportAreReplacedByThoseOfNow() {
        view.onReported(Map.of(REPLICA, 3));
        receive(10, 50);
        view.onReported(Map.of(REPLICA, 1));

        assertEquals(7 + 5, view.load(REPLICA, 5));
        assertEquals(0.5, view.speedOf(REPLICA));
    }

    // Guards against decisions on the digest of a planning entry that was lost.
    @Test
    void digestOlderThanOneAndAHalfSecondsIsIgnored() {
        receive(10, 50);
        clock.nowMillis += 1_501;

        assertFalse(view.differs(REPLICA));
        assertEquals(2, view.load(REPLICA, 2));
        assertEquals(1, view.speedOf(REPLICA));
        assertEquals(0.5, view.lastSpeed(REPLICA).orElseThrow());
    }

    @Test
    void replicaOfAServiceThatNoLongerDiffersIsRoutedAsBefore() {
        receive(10, 50);
        assertTrue(view.differs(REPLICA));
        receive(10, 0);
        assertFalse(view.differs(REPLICA));
    }

    @Test
    void ageIsNegativeWithoutDigests() {
        assertEquals(-1, view.digestAgeMillis());
    }
}
