package org.tarragonring.policy.streams;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Which version began a stream must follow from the stream's id after the entries that knew it have ended. A slot may never
 * name one version while a running stream of another one belongs to it.
 */
class StreamAssignmentTest {

    private static final SoftwareVersion V1 = new SoftwareVersion("v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("v2");
    private static final SoftwareVersion V3 = new SoftwareVersion("v3");
    private static final StreamSlot SLOT = new StreamSlot("m1", 3);
    private static final StreamSlot OTHER_SLOT = new StreamSlot("m1", 4);
    private static final StreamSlot OTHER_MODEL = new StreamSlot("m2", 3);

    // Load: a fleet of two versions that begins to serve, with models that both hold and models that one holds.
    @Test
    void firstStreamsAreDistributedAsTheReplicas() {
        StreamAssignment assignment = StreamAssignment.initial(
                V1, Map.of("both", Map.of(V1, 1, V2, 3), "only-v1", Map.of(V1, 2), "only-v2", Map.of(V2, 1)));

        assertEquals(4, count(assignment, "both", V1));
        assertEquals(12, count(assignment, "both", V2));
        assertEquals(StreamSlot.COUNT, count(assignment, "only-v1", V1));
        assertEquals(StreamSlot.COUNT, count(assignment, "only-v2", V2));
        assertEquals(StreamSlot.COUNT, count(assignment, "unknown", V1));
        assertTrue(assignment.isSettled());
    }

    @Test
    void streamsWithEqualIdsAndModelsHaveTheSameSlot() {
        StreamSlot slot = StreamSlot.of(Optional.of(new ModelName("m1")), new StreamId("a"));

        assertEquals(slot, StreamSlot.of(Optional.of(new ModelName("m1")), new StreamId("a")));
        assertEquals("", StreamSlot.of(Optional.empty(), new StreamId("a")).model());
        assertThrows(IllegalArgumentException.class, () -> new StreamSlot("m1", StreamSlot.COUNT));
    }

    // Guards against slots that most ids share, which could not be distributed over versions.
    @Test
    void idsAreSpreadOverAllSlots() {
        Map<Integer, Integer> streams = new TreeMap<>();
        for (int i = 0; i < 100 * StreamSlot.COUNT; i++) {
            streams.merge(
                    StreamSlot.of(Optional.empty(), new StreamId("s" + i + "-0"))
                            .number(),
                    1,
                    Integer::sum);
        }

        assertEquals(StreamSlot.COUNT, streams.size());
        assertTrue(streams.values().stream().allMatch(count -> count > 50 && count < 200), streams::toString);
    }

    // Guards against a guess about streams that began before their slot was moved.
    @Test
    void movedSlotNamesNoVersionUntilItIsSettled() {
        StreamAssignment moved = StreamAssignment.to(V1).allowing(SLOT, V2, Set.of(V1, V2));

        assertEquals(Set.of(V2), moved.of(SLOT).open());
        assertEquals(Optional.empty(), moved.of(SLOT).only());
        assertEquals(Optional.of(V1), moved.of(OTHER_SLOT).only());
        assertEquals(Optional.of(V1), moved.of(OTHER_MODEL).only());

        assertEquals(Optional.of(V2), settled(moved).of(SLOT).only());
    }

    // Guards against a record that is written for each call while both versions reject some of them.
    @Test
    void slotThatIsMovedTwiceIsOpenToBothVersions() {
        Set<SoftwareVersion> held = Set.of(V1, V2);
        StreamAssignment open = StreamAssignment.to(V1).allowing(SLOT, V2, held).allowing(SLOT, V1, held);

        assertEquals(Set.of(V1, V2), open.of(SLOT).open());
        assertEquals(open, open.allowing(SLOT, V2, held));
        assertEquals(Optional.empty(), open.of(SLOT).only());

        StreamAssignment closed = settled(open);
        assertEquals(1, closed.of(SLOT).open().size());
        assertEquals(Optional.empty(), closed.of(SLOT).only(), "streams of the other version still run");
        assertTrue(settled(closed).of(SLOT).only().isPresent());
    }

    // Load: the last replica of the old version that holds a model is replaced.
    @Test
    void allSlotsOfAModelMoveIfNoReplicaHoldsItAtTheirVersion() {
        StreamAssignment moved = StreamAssignment.to(V1).allowing(SLOT, V2, Set.of(V2));

        assertEquals(Set.of(V2), moved.of(OTHER_SLOT).open());
        assertEquals(Optional.empty(), moved.of(OTHER_SLOT).only());
        assertEquals(Optional.of(V1), moved.of(OTHER_MODEL).only());
    }

    @Test
    void versionWithoutStreamsIsForgotten() {
        StreamAssignment moved = StreamAssignment.to(V1).allowing(SLOT, V2, Set.of(V1, V2));

        assertEquals(StreamAssignment.to(V2), moved.retaining(Set.of(V2)));
        StreamAssignment others = moved.retaining(Set.of(V2, V3));
        assertEquals(Optional.of(V2), others.of(SLOT).only());
        assertEquals(SlotVersions.NONE, others.of(OTHER_SLOT));
    }

    // Guards against a slot that names one version, though two entries remember different ones after a restore.
    @Test
    void differentMemoriesAreBothKept() {
        StreamAssignment before = StreamAssignment.to(V1);
        StreamAssignment moved = before.allowing(SLOT, V2, Set.of(V1, V2));

        assertEquals(
                Optional.empty(), before.mergedWith(settled(moved)).of(SLOT).only());
        assertEquals(before, before.mergedWith(before));
        assertEquals(moved.mergedWith(before), before.mergedWith(moved));
    }

    @Test
    void streamsOfAnEarlierReleaseBeganAtAnyVersion() {
        StreamAssignment unknown = StreamAssignment.unknown(Set.of(V1, V2));

        assertEquals(Optional.empty(), unknown.of(SLOT).only());
        assertFalse(unknown.of(SLOT).open().contains(V1));
        assertEquals(
                Set.of(V1), unknown.allowing(SLOT, V1, Set.of(V1, V2)).of(SLOT).open());
    }

    @Test
    void modelsThatDoNotDifferAreNotListed() {
        Map<String, List<SlotVersions>> models = new HashMap<>();
        models.put("m1", Collections.nCopies(StreamSlot.COUNT, SlotVersions.of(V1)));

        assertEquals(StreamAssignment.to(V1), new StreamAssignment(SlotVersions.of(V1), models));
        models.put("m1", List.of());
        assertThrows(IllegalArgumentException.class, () -> new StreamAssignment(SlotVersions.of(V1), models));
    }

    @Test
    void slotIsMovedForALargeDifferenceOnly() {
        assertFalse(SlotMoves.isWorthwhile(4, 0));
        assertTrue(SlotMoves.isWorthwhile(5, 0));
        assertFalse(SlotMoves.isWorthwhile(13, 6));
        assertTrue(SlotMoves.isWorthwhile(14, 6));
    }

    private static StreamAssignment settled(StreamAssignment assignment) {
        return assignment.changed(base -> base.settled(0), (slot, versions) -> versions.settled(slot.number()));
    }

    private static long count(StreamAssignment assignment, String model, SoftwareVersion version) {
        long count = 0;
        for (int number = 0; number < StreamSlot.COUNT; number++) {
            count += assignment.of(new StreamSlot(model, number)).equals(SlotVersions.of(version)) ? 1 : 0;
        }
        return count;
    }
}
