package org.tarragonring.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.Hashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RendezvousTest {

    private static final List<String> NAMES =
            IntStream.range(0, 20).mapToObj(i -> "entry-" + i).toList();

    @Test
    void bestOfNoCandidatesIsMinusOne() {
        assertEquals(-1, Rendezvous.best("key", new long[0]));
    }

    @Test
    void bestIsFirstOfRanking() {
        long[] hashes = NAMES.stream().mapToLong(Hashes::of).toArray();
        for (int i = 0; i < 100; i++) {
            String first = Rendezvous.rank("key-" + i, NAMES, n -> n).get(0);
            assertEquals(first, NAMES.get(Rendezvous.best("key-" + i, hashes)));
        }
    }

    @Test
    void removingCandidateKeepsOrderOfOthers() {
        List<String> before = new ArrayList<>(Rendezvous.rank("key", NAMES, n -> n));
        before.remove("entry-7");
        List<String> remaining =
                NAMES.stream().filter(n -> !n.equals("entry-7")).toList();
        assertEquals(before, Rendezvous.rank("key", remaining, n -> n));
    }

    @Test
    void keysAreDistributedEvenly() {
        Map<String, Integer> countByName = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            countByName.merge(Rendezvous.rank("key-" + i, NAMES, n -> n).get(0), 1, Integer::sum);
        }
        assertTrue(countByName.values().stream().allMatch(c -> c > 800 && c < 1200), countByName.toString());
    }
}
