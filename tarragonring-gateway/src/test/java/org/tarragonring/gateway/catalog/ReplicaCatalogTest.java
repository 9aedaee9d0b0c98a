package org.tarragonring.gateway.catalog;

import java.util.Map;
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

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A list of replicas that is still filling up after a start must not be taken for complete. */
class ReplicaCatalogTest {

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

    private static ListedReplica listed(String id) {
        return new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                "domain-a",
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(1, 0, Map.of(), Set.of(), Set.of()));
    }
}
