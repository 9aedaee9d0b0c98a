package org.tarragonring.policy.team;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.TeamName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TeamDirectoryTest {

    private static final int KEYS = 10_000;
    private static final int MAX_BYTES = 2_000_000;

    private static final Team TEAM = new Team(new TeamName("a"), 1, Optional.empty());
    private static final Team OTHER = new Team(new TeamName("b"), 2, Optional.empty());

    @Test
    void findsTheTeamOfAKey() {
        TeamDirectory directory = new TeamDirectory(Map.of(new ApiKey("key-1"), TEAM, new ApiKey("key-2"), OTHER));

        assertEquals(Optional.of(OTHER), directory.find(new ApiKey("key-2")));
        assertEquals(Optional.empty(), directory.find(new ApiKey("key-")));
        assertEquals(Optional.of(TEAM), directory.find(new TeamName("a")));
    }

    @Test
    void teamWithoutAKeyIsKnownByItsName() {
        TeamDirectory directory = new TeamDirectory(List.of(TEAM), Map.of());

        assertEquals(Optional.of(TEAM), directory.find(new TeamName("a")));
    }

    @Test
    void textOfKeysAndDigestsHidesThem() {
        ApiKey key = new ApiKey("secret-key");

        assertFalse(key.toString().contains("secret"));
        assertFalse(KeyDigest.of(key).toString().matches(".*\\d.*"));
    }

    // Guards against a directory that does not fit beside the calls of an entry with a small heap.
    @Test
    void tenThousandKeysFitIntoTwoMegabytes() {
        int copies = 8;
        List<TeamDirectory> directories = new ArrayList<>();
        long before = usedBytes();
        for (int i = 0; i < copies; i++) {
            directories.add(largeDirectory(i));
        }
        long bytes = (usedBytes() - before) / copies;

        assertEquals(KEYS, directories.get(copies - 1).keyCount());
        assertTrue(bytes < MAX_BYTES, bytes + " bytes for " + KEYS + " keys");
    }

    private static TeamDirectory largeDirectory(int number) {
        Map<KeyDigest, Team> teamsByKey = new HashMap<>();
        for (int i = 0; i < KEYS; i++) {
            teamsByKey.put(KeyDigest.of(new ApiKey("key-" + number + "-" + i)), TEAM);
        }
        return new TeamDirectory(List.of(TEAM), teamsByKey);
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
