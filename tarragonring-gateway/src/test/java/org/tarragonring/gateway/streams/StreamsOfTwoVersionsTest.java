package org.tarragonring.gateway.streams;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.streams.StreamSlot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Two versions of the replicas' software serve, and no entry that runs knows a stream: its callers must be able to take it up,
 * at the version that began it and at no other.
 */
class StreamsOfTwoVersionsTest extends ServingVersionsFixture {

    private static final int STREAMS = 100;
    private static final int SEEDS = 60;
    private static final int STEPS = 150;
    private static final Duration SETTLED =
            LONGEST_STREAM.plus(ServingVersions.FOLLOW_PERIOD).plus(CHECKED);

    private final Map<StreamId, SoftwareVersion> running = new LinkedHashMap<>();
    private int begun;

    // Guards against refused streams after a kill of all entries, though both versions go on serving.
    @Test
    void streamsGoOnAtTheirVersionsAfterAllEntriesRestarted() {
        listBoth(entry);
        time.advance(CHECKED);
        beginStreams();
        assertEquals(Set.of(V1.get(), V2.get()), new HashSet<>(running.values()));

        restart();
        listBoth(entry);

        assertAllKnown();
        restart();
        listBoth(entry);
        assertAllKnown();
    }

    // Guards against a cost that follows the number of streams.
    @Test
    void nothingIsWrittenForSingleStreams() {
        listBoth(entry);
        time.advance(CHECKED);
        int writes = store.writeCount();

        for (int i = 0; i < 20; i++) {
            beginStreams();
            time.advance(ServingVersions.CHECK_PERIOD);
        }

        assertEquals(writes, store.writeCount());
    }

    // Load: a release has just begun, and all streams still begin at the old version.
    @Test
    void streamsOfTheOldVersionGoOnWhenANewOneHasJoined() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        beginStreams();
        entry.list("new-1", "v2");
        time.advance(CHECKED);

        restart();
        listBoth(entry);

        assertAllKnown();
    }

    // Guards against a guess about the streams of a slot that was moved while they run.
    @Test
    void streamsOfAMovedSlotAreKnownAgainWhenTheEarlierOnesHaveEnded() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        StreamSlot moved = new StreamSlot("", 5);
        assertTrue(entry.versions.allow(SERVICE, moved, V2.get()).join());

        restart();
        listBoth(entry);
        assertEquals(Optional.empty(), onlyVersion(moved));
        assertEquals(V1, onlyVersion(new StreamSlot("", 6)));
        time.advance(LONGEST_STREAM);
        assertEquals(Optional.empty(), onlyVersion(moved));

        time.advance(SETTLED);
        assertEquals(V2, onlyVersion(moved));
    }

    // Guards against an entry that begins streams where another one has moved them from long ago.
    @Test
    void entryFollowsTheMovesOfOthers() {
        Entry other = new Entry();
        List.of(entry, other).forEach(each -> each.list("old-1", "v1"));
        time.advance(CHECKED);
        List.of(entry, other).forEach(StreamsOfTwoVersionsTest::listBoth);
        time.advance(CHECKED);
        StreamSlot slot = new StreamSlot("", 5);
        assertTrue(entry.versions.allow(SERVICE, slot, V2.get()).join());
        assertTrue(other.versions.mayBegin(SERVICE, slot, V1.get()), "it has not read the record since");

        time.advance(ServingVersions.FOLLOW_PERIOD.plus(ServingVersions.CHECK_PERIOD));

        assertTrue(other.versions.mayBegin(SERVICE, slot, V2.get()));
        assertTrue(!other.versions.mayBegin(SERVICE, slot, V1.get()));
    }

    // Guards against requests to the store on days without a release.
    @Test
    void recordOfOneVersionIsNotReadAgainAndAgain() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        int reads = store.readCount();

        time.advance(Duration.ofMinutes(5));

        assertEquals(reads, store.readCount());
    }

    // Guards against streams of two versions after an upgrade from a release that chose the version of each stream
    // freely.
    @Test
    void recordOfAnEarlierReleaseSaysNothingOfItsStreams() {
        store.put(ServingVersions.KEY, "{\"services\":{\"llm\":[\"v1\",\"v2\"]}}".getBytes());
        restart();
        listBoth(entry);
        time.advance(CHECKED);
        assertEquals(Optional.empty(), onlyVersion(new StreamSlot("", 5)));
        beginStreams();
        time.advance(SETTLED);

        assertAllKnown();
    }

    /**
     * Releases, moved slots, kills of single entries and of all, restores of the store and requests to it that fail, in
     * random series: no stream may be continued at a version that did not begin it.
     */
    @Test
    void noStreamIsContinuedAtAnotherVersion() {
        int known = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            known += new StreamsOfTwoVersionsTest().play(seed);
        }
        assertTrue(known > SEEDS, "hardly any stream was continued");
    }

    private int play(int seed) {
        Random random = new Random(seed);
        List<Entry> entries = new ArrayList<>(List.of(entry, new Entry()));
        Map<StreamId, Long> endMillis = new LinkedHashMap<>();
        Set<String> listed = new HashSet<>(Set.of("v1"));
        int known = 0;
        for (int step = 0; step < STEPS; step++) {
            time.advance(Duration.ofMillis(random.nextInt(2_000)));
            endMillis.values().removeIf(end -> end < time.millis());
            running.keySet().retainAll(endMillis.keySet());
            entry = entries.get(random.nextInt(entries.size()));
            switch (random.nextInt(12)) {
                case 0 -> changeRelease(random, listed);
                case 1 -> restartOne(entries, entry);
                case 2 -> List.copyOf(entries).forEach(each -> restartOne(entries, each));
                case 3 -> store.copy();
                case 4 -> restore(random);
                case 5 -> store.failReads(random.nextInt(4));
                default -> begin(random, listed, endMillis);
            }
            for (Entry each : entries) {
                for (String version : List.of("v1", "v2", "v3")) {
                    if (listed.contains(version)) {
                        each.list("replica-" + version, version);
                    } else {
                        each.catalog.remove(new UpstreamId("replica-" + version));
                    }
                }
            }
            known += checkRunning(seed, step);
        }
        return known;
    }

    private void changeRelease(Random random, Set<String> listed) {
        String version = "v" + (1 + random.nextInt(3));
        if (!listed.remove(version) || listed.isEmpty()) {
            listed.add(version);
        }
    }

    private void restore(Random random) {
        if (store.era().number() > 0 && random.nextInt(3) == 0) {
            store.restoreCopy();
        }
    }

    private void restartOne(List<Entry> entries, Entry ended) {
        ended.versions.stop();
        entries.remove(ended);
        entry = new Entry();
        entries.add(entry);
    }

    private void begin(Random random, Set<String> listed, Map<StreamId, Long> endMillis) {
        StreamId id = new StreamId("stream-" + begun++);
        StreamSlot slot = StreamSlot.of(Optional.empty(), id);
        List<String> versions = new ArrayList<>(listed);
        SoftwareVersion version = new SoftwareVersion(versions.get(random.nextInt(versions.size())));
        boolean mayMove = random.nextBoolean();
        boolean isAllowed = mayMove
                ? entry.versions.allow(SERVICE, slot, version).getNow(false)
                : entry.versions.mayBegin(SERVICE, slot, version);
        if (isAllowed && entry.versions.mayBegin(SERVICE, slot, version)) {
            running.put(id, version);
            endMillis.put(
                    id,
                    time.millis()
                            + random.nextInt(
                                    (int) LONGEST_STREAM.minusSeconds(3).toMillis()));
        }
    }

    private int checkRunning(int seed, int step) {
        int known = 0;
        for (Map.Entry<StreamId, SoftwareVersion> stream : running.entrySet()) {
            StreamSlot slot = StreamSlot.of(Optional.empty(), stream.getKey());
            Optional<SoftwareVersion> found =
                    entry.versions.onlyVersion(SERVICE, Optional.of(slot)).getNow(Optional.empty());
            if (found.isPresent()) {
                known++;
                assertEquals(stream.getValue(), found.get(), "seed %d, step %d".formatted(seed, step));
            }
        }
        return known;
    }

    private void beginStreams() {
        for (int i = 0; i < STREAMS; i++) {
            StreamId id = new StreamId("stream-" + begun++);
            StreamSlot slot = StreamSlot.of(Optional.empty(), id);
            SoftwareVersion version = entry.versions.mayBegin(SERVICE, slot, V1.get()) ? V1.get() : V2.get();
            assertTrue(entry.versions.allow(SERVICE, slot, version).join());
            running.put(id, version);
        }
    }

    private void assertAllKnown() {
        running.forEach((id, version) ->
                assertEquals(Optional.of(version), onlyVersion(StreamSlot.of(Optional.empty(), id)), id.value()));
    }

    private Optional<SoftwareVersion> onlyVersion(StreamSlot slot) {
        return entry.versions.onlyVersion(SERVICE, Optional.of(slot)).join();
    }

    private static void listBoth(Entry entry) {
        entry.list("old-1", "v1");
        entry.list("new-1", "v2");
    }
}
