package org.tarragonring.policy.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.routing.DigestSelection.Item;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DigestSelectionTest {

    private final ManualClock clock = new ManualClock();
    private final DigestSelection selection = new DigestSelection(clock);

    private static List<Item> items(int count) {
        List<Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(new Item(new UpstreamId("r" + i), i, 100));
        }
        return items;
    }

    @Test
    void mostLoadedReplicasComeFirst() {
        assertEquals(
                items(20).subList(10, 20).stream().map(Item::inFlight).sorted().toList(),
                selection.select(items(20), 10).stream()
                        .map(Item::inFlight)
                        .sorted()
                        .toList());
    }

    @Test
    void changedReplicasComeFirstOnceAllWereNamed() {
        selection.select(items(20), 20);
        List<Item> changed = items(20);
        changed.set(3, new Item(new UpstreamId("r3"), 9, 100));
        changed.set(5, new Item(new UpstreamId("r5"), 5, 30));

        assertEquals(List.of(changed.get(5), changed.get(3)), selection.select(changed, 2));
    }

    // Guards against replicas whose digest was lost and that are never named again.
    @Test
    void allReplicasAreNamedInTurns() {
        Set<Item> named = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            clock.nowMillis += 250;
            named.addAll(selection.select(items(100), 10));
        }
        assertEquals(100, named.size());
    }
}
