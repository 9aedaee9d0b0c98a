package org.tarragonring.gateway.streams;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * After all entries have started again, none knows which version of the replicas' software began a stream. A guess may
 * join what two versions write, and a refusal strands the streams of a service that has one version only.
 */
class ServingVersionsTest extends ServingVersionsFixture {

    /** The number of writes that create the record when the first entry of a deployment starts. */
    private static final int CREATION = 1;

    @Test
    void onlyVersionIsKnownAfterARestartAlsoIfAReplicaIsYoung() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);

        restart();
        entry.list("old-1", "v1");
        entry.list("young-1", "v1");

        assertEquals(V1, entry.onlyVersion());
    }

    // Guards against the version that is listed now being taken for that of a stream which one that has left began.
    @Test
    void versionThatLeftBeforeTheRestartIsRemembered() {
        entry.list("old-1", "v1");
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        entry.catalog.remove(new UpstreamId("old-1"));

        restart();
        entry.list("new-1", "v2");

        assertEquals(Optional.empty(), entry.onlyVersion());
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    @Test
    void versionIsForgottenWhenNoneOfItsStreamsCanRun() {
        entry.list("old-1", "v1");
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        entry.catalog.remove(new UpstreamId("old-1"));
        time.advance(LONGEST_STREAM.minusSeconds(1));
        assertEquals(Optional.empty(), entry.onlyVersion());

        time.advance(CHECKED);

        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against streams that end because one request to a slow store failed.
    @Test
    void recordIsReadAgainIfTheStoreDoesNotRespond() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        restart();
        entry.list("old-1", "v1");

        store.failReads(ServingVersions.READ_ATTEMPTS - 1);
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE, Optional.empty());
        time.advance(StoredVersionRecord.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertEquals(V1, version.getNow(Optional.empty()));
    }

    @Test
    void versionIsNotKnownIfTheStoreDoesNotRespondAtAll() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        restart();
        entry.list("old-1", "v1");

        store.failReads(ServingVersions.READ_ATTEMPTS);
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE, Optional.empty());
        time.advance(StoredVersionRecord.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertEquals(Optional.empty(), version.getNow(V2));
    }

    @Test
    void versionThatIsListedButNotRecordedYetCounts() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        entry.list("new-1", "v2");

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    @Test
    void nothingIsKnownWithoutARecord() {
        entry.list("old-1", "v1");

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    @Test
    void versionThatIsNotToldIsNoVersion() {
        entry.list("old-1", "");
        time.advance(CHECKED);

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    // Guards against an entry that was cut off and does not know of a newer version.
    @Test
    void storeIsAskedForTheListWhileTheOwnOneMayBeOutOfDate() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        listCurrent = false;
        store.put("servers/old-1", "v1".getBytes(StandardCharsets.UTF_8));
        store.put("servers/new-1", "v2".getBytes(StandardCharsets.UTF_8));

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    @Test
    void unreadableRecordIsReplacedWhenItNoLongerMatters() {
        store.put(ServingVersions.KEY, "[7]".getBytes(StandardCharsets.UTF_8));
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());

        time.advance(LONGEST_STREAM.multipliedBy(2));

        assertEquals(V1, entry.onlyVersion());
    }

    // Guards against the versions that are listed now being taken for all that may have begun streams, though entries
    // have
    // served without a record, as those of an earlier release do.
    @Test
    void missingRecordSaysNothingIfEntriesHaveServedBefore() {
        store.delete(ServingVersions.KEY, 0).await().indefinitely();
        store.put(TRACES + "group-1", new byte[0]);
        restart();
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());

        time.advance(LONGEST_STREAM);

        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against the same guess after another writer has deleted the record.
    @Test
    void deletedRecordIsReplacedByWhatThisEntryHasSeen() {
        entry.list("old-1", "v1");
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        entry.catalog.remove(new UpstreamId("old-1"));
        store.delete(ServingVersions.KEY, 0).await().indefinitely();
        assertEquals(Optional.empty(), entry.onlyVersion());
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());

        restart();
        entry.list("new-1", "v2");

        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    // Guards against streams of a version that nothing in the store tells of when all entries have been killed.
    @Test
    void versionIsRecordedBeforeItsFirstStreamByAnyEntry() {
        responsible = false;
        entry.list("old-1", "v1");
        assertFalse(entry.versions.isRecorded(SERVICE, V1.orElseThrow()));

        assertTrue(entry.versions.record(SERVICE, V1.orElseThrow()).join());

        assertTrue(entry.versions.isRecorded(SERVICE, V1.orElseThrow()));
        restart();
        entry.list("new-1", "v2");
        assertEquals(Optional.empty(), entry.onlyVersion());
    }

    // Guards against an entry that is cut off from the store and refuses its first stream, though the version was
    // recorded.
    @Test
    void everyEntryReadsWhatAnotherOneHasRecorded() {
        responsible = false;
        restart();
        store.put(ServingVersions.KEY, "{\"services\":{\"llm\":[\"v1\"]}}".getBytes(StandardCharsets.UTF_8));
        entry.list("old-1", "v1");
        time.advance(CHECKED);

        store.failReads(ServingVersions.READ_ATTEMPTS);

        assertTrue(entry.versions.record(SERVICE, V1.orElseThrow()).getNow(false));
    }

    @Test
    void versionIsNotRecordedIfTheStoreDoesNotRespond() {
        entry.list("old-1", "v1");
        store.failReads(ServingVersions.READ_ATTEMPTS);

        CompletableFuture<Boolean> recorded = entry.versions.record(SERVICE, V1.orElseThrow());
        time.advance(StoredVersionRecord.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertFalse(recorded.getNow(true));
        assertTrue(entry.versions.record(SERVICE, V1.orElseThrow()).join());
    }

    // Guards against a version that has been removed from the record meanwhile, as another entry no longer saw it.
    @Test
    void versionThatReturnsIsRecordedAgain() {
        responsible = false;
        entry.list("old-1", "v1");
        entry.versions.record(SERVICE, V1.orElseThrow());
        entry.catalog.remove(new UpstreamId("old-1"));
        time.advance(CHECKED);
        entry.list("old-1", "v1");

        assertFalse(entry.versions.isRecorded(SERVICE, V1.orElseThrow()));
    }

    // Guards against two entries that each believe to know the record and overwrite what the other has recorded.
    @Test
    void entryThatBecomesResponsibleReadsTheRecordFirst() {
        responsible = false;
        entry.list("new-1", "v2");
        entry.versions.record(SERVICE, V2.orElseThrow());
        store.put(ServingVersions.KEY, "{\"services\":{\"llm\":[\"v1\",\"v2\"]}}".getBytes(StandardCharsets.UTF_8));

        responsible = true;
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());
        time.advance(LONGEST_STREAM.plus(CHECKED));

        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against a version that has returned and left while this entry did not see it, and that was read of long
    // ago.
    @Test
    void entryThatBecomesResponsibleKeepsVersionsForAWholeStream() {
        responsible = false;
        store.put(ServingVersions.KEY, "{\"services\":{\"llm\":[\"v1\",\"v2\"]}}".getBytes(StandardCharsets.UTF_8));
        restart();
        entry.list("new-1", "v2");
        time.advance(LONGEST_STREAM.multipliedBy(2));

        responsible = true;
        time.advance(CHECKED);
        assertEquals(Optional.empty(), entry.onlyVersion());

        time.advance(LONGEST_STREAM);
        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against an entry that removes what it does not see, though another one is responsible.
    @Test
    void entryThatRecordsAVersionRemovesNone() {
        responsible = false;
        store.put(ServingVersions.KEY, "{\"services\":{\"llm\":[\"v1\"]}}".getBytes(StandardCharsets.UTF_8));
        restart();
        time.advance(LONGEST_STREAM.multipliedBy(2));
        entry.list("new-1", "v2");

        assertTrue(entry.versions.record(SERVICE, V2.orElseThrow()).join());

        assertTrue(entry.versions.isRecorded(SERVICE, V1.orElseThrow()));
    }

    // Guards against a version that is removed too early by an entry that gets its configuration late.
    @Test
    void versionIsKeptWhileTheTimeOfStreamsIsNotKnown() {
        entry.list("old-1", "v1");
        entry.list("new-1", "v2");
        time.advance(CHECKED);
        entry.catalog.remove(new UpstreamId("old-1"));

        longestStream = Optional.empty();
        restart();
        entry.list("new-1", "v2");
        time.advance(LONGEST_STREAM.multipliedBy(2));
        assertEquals(Optional.empty(), entry.onlyVersion());

        longestStream = Optional.of(LONGEST_STREAM);
        time.advance(CHECKED);
        assertEquals(V2, entry.onlyVersion());
    }

    // Guards against streams that end because one request for the list failed.
    @Test
    void listIsReadAgainIfTheStoreDoesNotRespond() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        listCurrent = false;
        store.put("servers/old-1", "v1".getBytes(StandardCharsets.UTF_8));

        store.failLists(ServingVersions.READ_ATTEMPTS - 1);
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE, Optional.empty());
        time.advance(StoredVersionRecord.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertEquals(V1, version.getNow(Optional.empty()));
    }

    // Guards against leases that show that entries have served before it is known what was recorded.
    @Test
    void recordIsReadUntilTheStoreResponds() {
        store.failReads(1);
        restart();
        assertFalse(entry.versions.isRead());

        time.advance(StoredVersionRecord.READ_RETRY_DELAY);

        assertTrue(entry.versions.isRead());
    }

    @Test
    void recordIsWrittenOncePerChangeOfTheVersions() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        for (int i = 0; i < 20; i++) {
            entry.list("old-" + i, "v1");
            time.advance(ServingVersions.CHECK_PERIOD);
        }
        assertEquals(CREATION + 1, store.writeCount());

        entry.list("new-1", "v2");
        time.advance(CHECKED);
        assertEquals(CREATION + 2, store.writeCount());
    }

    @Test
    void onlyTheResponsibleEntryWrites() {
        responsible = false;
        entry.list("old-1", "v1");
        time.advance(CHECKED);

        assertEquals(CREATION, store.writeCount());
    }
}
