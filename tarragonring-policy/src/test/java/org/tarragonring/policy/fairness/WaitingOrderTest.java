package org.tarragonring.policy.fairness;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.Function;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tarragonring.policy.fairness.WaitingOrder.WaitingCall;

import static org.junit.jupiter.api.Assertions.assertEquals;

class WaitingOrderTest {

    // Guards against a team whose many calls, which arrived first, are all sent before those of other teams.
    @Test
    void teamThatSendsFiveTimesItsUsualGetsThePlacesThatAreLeft() {
        List<WaitingCall> calls = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            calls.add(new WaitingCall(i < 4 ? 1 : 4, 2_000 + i, i));
        }
        for (int i = 0; i < 12; i++) {
            calls.add(new WaitingCall(1, 2_500 + i, 500 + i));
        }

        List<WaitingCall> firstHalf = order(calls).subList(0, 16);

        assertEquals(
                9,
                firstHalf.stream().filter(call -> call.arrivalMillis() >= 500).count());
    }

    // Guards against long calls that never run while short ones with a near objective keep arriving.
    @Test
    void longCallsBesideShortOnesAreSentInTheirTurn() {
        List<WaitingCall> calls = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            calls.add(new WaitingCall(1, 1_000 + i, 900 + i));
        }
        WaitingCall brief = new WaitingCall(1, 6_000, 100);
        calls.add(brief);

        assertEquals(3, order(calls).indexOf(brief));
    }

    @Test
    void nearerObjectiveGoesFirstWithinAnUrgency() {
        WaitingCall query = new WaitingCall(2, 600, 100);
        WaitingCall digest = new WaitingCall(2, 1_100, 90);
        WaitingCall urgent = new WaitingCall(0, 7_000, 95);

        assertEquals(List.of(urgent, query, digest), order(List.of(digest, query, urgent)));
    }

    @Property(tries = 500, seed = "11")
    void eachCallIsSentOnce(@ForAll List<@IntRange(max = 3) Integer> urgencies) {
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < urgencies.size(); i++) {
            indices.add(i);
        }
        List<Integer> ordered =
                WaitingOrder.order(indices, i -> new WaitingCall(urgencies.get(i), urgencies.get(i), 0));

        assertEquals(indices.size(), ordered.size());
        assertEquals(new HashSet<>(indices), new HashSet<>(ordered));
    }

    private static List<WaitingCall> order(List<WaitingCall> calls) {
        return WaitingOrder.order(calls, Function.identity());
    }
}
