package org.tarragonring.routing;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

/** Checks that calls are sent only to allowed targets with free slots, by prefix or balanced. */
class TargetPickerTest {

    private final TargetPicker picker = new TargetPicker(new Random(1));
    private final Target[] targets = IntStream.range(0, 8)
            .mapToObj(i -> new Target("slot-" + i, new UpstreamId("u-" + i), new HostPort("h", 1), "d"))
            .toArray(Target[]::new);

    @Test
    void pickReturnsNullWithoutTargets() {
        assertNull(picker.pick(new Target[0], 0, 4, t -> true));
    }

    @Test
    void pickReturnsNullIfAllTargetsAreFull() {
        for (Target target : targets) {
            target.callStarted();
        }
        assertNull(picker.pick(targets, 7, 1, t -> true));
    }

    @Test
    void onlyAllowedTargetIsPicked() {
        assertSame(targets[5], picker.pick(targets, 99, 4, t -> t == targets[5]));
    }

    @Test
    void samePrefixIsSentToSameTarget() {
        Target first = picker.pick(targets, 1234, 64, t -> true);
        for (int i = 0; i < 50; i++) {
            assertSame(first, picker.pick(targets, 1234, 64, t -> true));
        }
    }

    @Test
    void callsWithoutPrefixAreBalanced() {
        for (int i = 0; i < 800; i++) {
            picker.pick(targets, TargetPicker.NO_PREFIX, 1000, t -> true).callStarted();
        }
        int least = IntStream.range(0, 8).map(i -> targets[i].inFlight()).min().orElseThrow();
        int most = IntStream.range(0, 8).map(i -> targets[i].inFlight()).max().orElseThrow();
        assertEquals(100, (least + most) / 2, 10);
    }
}
