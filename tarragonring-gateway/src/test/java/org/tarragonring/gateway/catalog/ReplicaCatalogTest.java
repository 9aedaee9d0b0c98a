package org.tarragonring.gateway.catalog;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The list of replicas may be incomplete after a start, and older than what is known after a restore of the store. */
class ReplicaCatalogTest {

    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final UpstreamId R1 = new UpstreamId("r1");

    private long nowMillis = 10_000;
    private final MonotonicClock clock = () -> nowMillis * MonotonicClock.NANOS_PER_MILLI;
    private final ReplicaCatalog catalog = new ReplicaCatalog(clock, new Ejections(clock));

    @Test
    void listIsSettledOnceNoReplicaWasAddedForTheAgeOfARegistration() {
        catalog.put(listed("r1"));
        nowMillis += 3_000;
        catalog.put(listed("r2"));
        nowMillis += 3_000;
        catalog.put(listed("r1"));
        assertFalse(catalog.isListSettled());

        nowMillis += 500;

        assertTrue(catalog.isListSettled(), "the registration of a known replica does not count");
    }

    // Guards against calls to a replica that is about to exit, as an older copy of the store lists it again.
    @Test
    void replicaThatIsLeavingStaysSoIfItIsListedAgain() {
        catalog.put(listed("r1"));
        catalog.markLeaving(R1, 1, "response");
        catalog.remove(R1);

        catalog.put(listed("r1"));

        assertFalse(isUsable());
        catalog.put(listed("r1", 2, "10.0.0.2"));
        assertTrue(isUsable(), "a new process of the replica gets calls");
    }

    // Guards against the same after the announcement has arrived later than the removal, or from another entry.
    @Test
    void announcementOfAReplicaThatIsNotListedCounts() {
        catalog.put(listed("r1"));
        catalog.remove(R1);
        assertTrue(catalog.markLeaving(R1, 1, "message of another entry"));
        assertFalse(catalog.markLeaving(R1, 1, "response"), "it is known");

        catalog.put(listed("r1"));

        assertFalse(isUsable());
    }

    // Guards against calls to a replica that has asked for a pause, as it was not listed for a moment.
    @Test
    void pauseOutlastsTheRemovalOfAReplica() {
        catalog.put(listed("r1"));
        catalog.find(R1).orElseThrow().availability().pauseFor(Duration.ofSeconds(30));
        catalog.remove(R1);
        nowMillis += 10_000;

        catalog.put(listed("r1"));

        assertEquals(Optional.of(Duration.ofSeconds(20)), catalog.pause(SERVICE));
    }

    // Guards against calls to a replica whose registration was removed, and that an older copy of the store still
    // lists.
    @Test
    void removedReplicaGetsNoCallsWhileAnOlderCopyMayListIt() {
        catalog.put(listed("r1"));
        catalog.remove(R1);
        nowMillis += 1_000;
        catalog.onStoreRestored();
        catalog.put(listed("r1"));
        assertFalse(isUsable());

        nowMillis += ReplicaCatalog.EXPIRY_MILLIS;

        assertTrue(isUsable(), "the registration of a replica that has exited would have expired");
    }

    // Guards against replicas without calls, though they have only written their registrations again.
    @Test
    void replicaThatReturnsGetsCallsAtOnce() {
        catalog.put(listed("r1"));
        catalog.remove(R1);
        catalog.put(listed("r1"));
        assertTrue(isUsable());

        catalog.onStoreRestored();
        catalog.remove(R1);
        catalog.put(listed("r1"));
        assertTrue(isUsable());
    }

    // Guards against calls to the address of an earlier process that an older copy of the store lists.
    @Test
    void registrationOfAnEarlierProcessIsIgnored() {
        catalog.put(listed("r1", 2, "10.0.0.2"));
        catalog.onStoreRestored();
        catalog.put(listed("r1", 1, "10.0.0.1"));
        assertEquals("10.0.0.2", address());

        catalog.remove(R1);
        catalog.put(listed("r1", 1, "10.0.0.1"));
        assertTrue(catalog.find(R1).isEmpty());

        catalog.put(listed("r1", 2, "10.0.0.2"));
        assertEquals("10.0.0.2", address());
    }

    // Guards against memory that grows with the replicas that have come and gone.
    @Test
    void boundedNumberOfRemovedReplicasIsRemembered() {
        DepartedReplicas departed = new DepartedReplicas(clock);
        for (int i = 0; i < 3 * DepartedReplicas.MAX_REPLICAS; i++) {
            departed.markLeaving(new UpstreamId("r" + i), 1);
        }

        assertEquals(DepartedReplicas.MAX_REPLICAS, departed.size());
    }

    private boolean isUsable() {
        return !catalog.usable(SERVICE).isEmpty();
    }

    private String address() {
        return catalog.find(R1).orElseThrow().listed().address().host();
    }

    private static ListedReplica listed(String id) {
        return listed(id, 1, "10.0.0.1");
    }

    private static ListedReplica listed(String id, long processStartMillis, String host) {
        return new ListedReplica(
                new UpstreamId(id),
                SERVICE,
                new HostPort(host, 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(processStartMillis, 0, Map.of(), Set.of(), Set.of()));
    }
}
