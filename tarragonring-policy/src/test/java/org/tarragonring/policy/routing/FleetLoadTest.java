package org.tarragonring.policy.routing;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;

class FleetLoadTest {

    private static final UpstreamId REPLICA = new UpstreamId("replica-1");

    private final ManualClock clock = new ManualClock();
    private final FleetLoad load = new FleetLoad(clock);

    @Test
    void newReportReplacesTheEarlierOneOfTheSameEntry() {
        load.addReport(new EntryId("a"), Map.of(REPLICA, 3));
        load.addReport(new EntryId("b"), Map.of(REPLICA, 4));
        load.addReport(new EntryId("a"), Map.of(REPLICA, 1));
        assertEquals(5, load.load(REPLICA));
    }

    // Guards against the calls of an entry that has failed and that count for ever.
    @Test
    void reportsExpire() {
        load.addReport(new EntryId("a"), Map.of(REPLICA, 3));
        clock.nowMillis += 1_501;
        load.addReport(new EntryId("b"), Map.of(REPLICA, 4));
        load.expire();
        assertEquals(4, load.load(REPLICA));
        load.addReport(new EntryId("b"), Map.of());
        assertEquals(0, load.load(REPLICA));
    }
}
