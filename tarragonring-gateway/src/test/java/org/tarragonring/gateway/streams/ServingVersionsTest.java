package org.tarragonring.gateway.streams;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.MemoryStore;
import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.routing.Ejections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * After all entries have started again, none knows which version of the replicas' software began a stream. A guess may
 * join what two versions write, and a refusal strands the streams of a service that has one version only.
 */
class ServingVersionsTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final Duration LONGEST_STREAM = Duration.ofSeconds(16);
    private static final Duration CHECKED =
            ServingVersions.SETTLE_TIME.plus(ServingVersions.CHECK_PERIOD.multipliedBy(3));
    private static final String TRACES = "leases/";

    /** The number of writes that create the record when the first entry of a deployment starts. */
    private static final int CREATION = 1;

    private static final Optional<SoftwareVersion> V1 = Optional.of(new SoftwareVersion("v1"));
    private static final Optional<SoftwareVersion> V2 = Optional.of(new SoftwareVersion("v2"));

    private final ManualTime time = new ManualTime();
    private final MemoryStore store = new MemoryStore();
    private boolean responsible = true;
    private boolean listCurrent = true;
    private Optional<Duration> longestStream = Optional.of(LONGEST_STREAM);
    private Entry entry = new Entry();

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
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE);
        time.advance(ServingVersions.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertEquals(V1, version.getNow(Optional.empty()));
    }

    @Test
    void versionIsNotKnownIfTheStoreDoesNotRespondAtAll() {
        entry.list("old-1", "v1");
        time.advance(CHECKED);
        restart();
        entry.list("old-1", "v1");

        store.failReads(ServingVersions.READ_ATTEMPTS);
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE);
        time.advance(ServingVersions.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

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
        time.advance(ServingVersions.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

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
        CompletableFuture<Optional<SoftwareVersion>> version = entry.versions.onlyVersion(SERVICE);
        time.advance(ServingVersions.READ_RETRY_DELAY.multipliedBy(ServingVersions.READ_ATTEMPTS));

        assertEquals(V1, version.getNow(Optional.empty()));
    }

    // Guards against leases that show that entries have served before it is known what was recorded.
    @Test
    void recordIsReadUntilTheStoreResponds() {
        store.failReads(1);
        restart();
        assertFalse(entry.versions.isRead());

        time.advance(ServingVersions.READ_RETRY_DELAY);

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

    private void restart() {
        entry.versions.stop();
        entry = new Entry();
    }

    private static ListedReplica decode(StoredObject object) {
        return replica(object.key().substring("servers/".length()), new String(object.value(), StandardCharsets.UTF_8));
    }

    private static ListedReplica replica(String id, String version) {
        return new ListedReplica(
                new UpstreamId(id),
                SERVICE,
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion(version),
                64,
                false,
                new Holdings(1, Holdings.UNKNOWN_ORDER_COUNT, Map.of(), Set.of(), Set.of()));
    }

    private final class Entry {

        private final ReplicaCatalog catalog = new ReplicaCatalog(time, new Ejections(time));
        private final ServingVersions versions = new ServingVersions(
                store,
                catalog,
                new CurrentReplicas(store, "servers/", object -> Optional.of(decode(object))),
                TRACES,
                () -> responsible,
                () -> longestStream,
                time,
                time);

        private Entry() {
            catalog.setListCurrent(() -> listCurrent);
            versions.start();
        }

        private void list(String id, String version) {
            catalog.put(replica(id, version));
        }

        private Optional<SoftwareVersion> onlyVersion() {
            return versions.onlyVersion(SERVICE).join();
        }
    }
}
