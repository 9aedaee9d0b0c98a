package org.tarragonring.gateway.streams;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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

/** Entries that keep the record of software versions, one after the other, with a hand-moved clock and without a network. */
abstract class ServingVersionsFixture {

    static final ServiceName SERVICE = new ServiceName("llm");
    static final Duration LONGEST_STREAM = Duration.ofSeconds(16);
    static final Duration CHECKED = ServingVersions.SETTLE_TIME.plus(ServingVersions.CHECK_PERIOD.multipliedBy(3));
    static final String TRACES = "leases/";

    static final Optional<SoftwareVersion> V1 = Optional.of(new SoftwareVersion("v1"));
    static final Optional<SoftwareVersion> V2 = Optional.of(new SoftwareVersion("v2"));

    final ManualTime time = new ManualTime();
    final MemoryStore store = new MemoryStore();
    boolean responsible = true;
    boolean listCurrent = true;
    Optional<Duration> longestStream = Optional.of(LONGEST_STREAM);
    Entry entry = new Entry();

    /** Replaces the entry by one that has just started. */
    void restart() {
        entry.versions.stop();
        entry = new Entry();
    }

    static ListedReplica decode(StoredObject object) {
        return replica(object.key().substring("servers/".length()), new String(object.value(), StandardCharsets.UTF_8));
    }

    static ListedReplica replica(String id, String version) {
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

    final class Entry {

        final ReplicaCatalog catalog = new ReplicaCatalog(time, new Ejections(time));
        final ServingVersions versions = new ServingVersions(
                store,
                catalog,
                new CurrentReplicas(store, "servers/", object -> Optional.of(decode(object))),
                TRACES,
                () -> responsible,
                () -> longestStream,
                time,
                time);

        Entry() {
            catalog.setListCurrent(() -> listCurrent);
            versions.start();
        }

        void list(String id, String version) {
            catalog.put(replica(id, version));
        }

        Optional<SoftwareVersion> onlyVersion() {
            return versions.onlyVersion(SERVICE, Optional.empty()).join();
        }
    }
}
