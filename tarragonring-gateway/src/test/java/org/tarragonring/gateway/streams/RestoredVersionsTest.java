package org.tarragonring.gateway.streams;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/**
 * The store comes back from an older copy, which lacks what was recorded since. What the copy still says must not be taken
 * for all that has happened.
 */
class RestoredVersionsTest extends ServingVersionsFixture {

    // Guards against a stream that is joined from two versions, as the store has lost the record of the one that left.
    @Test
    void versionThatTheStoreHasLostIsRecordedAgain() {
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        store.copy();
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        entry.catalog.remove(new UpstreamId("old-1"));

        store.restoreCopy();
        assertFalse(entry.versions.isRecorded(SERVICE, V2.get()), "recorded in the era before");
        time.advance(ServingVersions.CHECK_PERIOD);
        restart();
        entry.list("new-1", "v2");

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    // Guards against a record that is absent after a restore, and makes streams of one version be refused.
    @Test
    void recordThatTheStoreHasLostAsAWholeIsRebuilt() {
        store.delete(ServingVersions.KEY, 0).await().indefinitely();
        store.copy();
        restart();
        entry.list("new-1", "v2");
        time.advance(CHECKED);

        store.restoreCopy();
        time.advance(ServingVersions.CHECK_PERIOD);

        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against streams joined from two versions, as an entry that starts after the store came back from an older
    // copy takes the record of that copy for complete, though a version has begun streams since.
    @Test
    void recordOfAnOlderCopySaysNothingToAnEntryThatHasJustStarted() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        store.copy();
        entry.list("new-1", "v2");
        time.advance(CHECKED);

        entry.versions.stop();
        store.restoreCopy();
        restart();
        entry.list("old-1", "v1");
        assertEquals(Optional.empty(), entry.onlyVersion());
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());

        time.advance(LONGEST_STREAM.plus(CHECKED));
        assertEquals(V1, entry.onlyVersion());
    }

    // Guards against the same guess by an entry that starts when another one has already written the record again.
    @Test
    void recordThatIsWrittenAgainWithoutKnowledgeSaysSo() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        store.copy();
        entry.versions.stop();
        store.restoreCopy();
        restart();
        entry.list("old-1", "v1");
        time.advance(CHECKED);

        restart();
        entry.list("old-1", "v1");
        time.advance(CHECKED);

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    // Guards against refused streams of the only version, as one of several entries has started during a restore.
    @Test
    void entryThatLivesThroughARestoreTellsThoseThatStart() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        store.copy();
        Entry survivor = entry;
        store.restoreCopy();
        entry = new Entry();
        entry.list("old-1", "v1");
        time.advance(ServingVersions.CHECK_PERIOD);

        assertEquals(V1, entry.onlyVersion());
        survivor.versions.stop();
    }

    // Guards against a version that is forgotten in the second of two restores in a row.
    @Test
    void versionThatTwoRestoresHaveLostIsRecordedAgain() {
        responsible = false;
        entry.list("new-1", "v2");
        entry.versions.record(SERVICE, V2.orElseThrow());
        store.copy();
        String both = "{\"era\":1,\"services\":{\"llm\":[\"v1\",\"v2\"]}}";
        store.put(ServingVersions.KEY, both.getBytes(StandardCharsets.UTF_8));
        assertEquals(Optional.empty(), entry.onlyVersion());

        store.restoreCopy();
        assertEquals(Optional.empty(), entry.onlyVersion());
        store.restoreCopy();
        time.advance(ServingVersions.CHECK_PERIOD);
        restart();
        entry.list("new-1", "v2");

        assertEquals(Optional.empty(), entry.onlyVersion());
    }
}
