package org.tarragonring.policy.replica;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;

/**
 * The registration of a replica in the replica list, which the replica updates with its heartbeats.
 *
 * @param id the identifier of the replica, not null
 * @param service the service that the replica belongs to, not null
 * @param address the address that the replica listens on, not null
 * @param failureDomain the failure domain of the replica, not null
 * @param software the version of the replica's software, whose name is empty if it is not told; not null
 * @param slots the number of requests that the replica runs concurrently
 * @param draining whether the replica is about to shut down and accepts no new calls
 * @param holdings the models that the replica held at its last heartbeat, not null
 * @since 0.2.0
 */
public record ListedReplica(
        UpstreamId id,
        ServiceName service,
        HostPort address,
        String failureDomain,
        SoftwareVersion software,
        int slots,
        boolean draining,
        Holdings holdings) {

    /** Checks the arguments. */
    public ListedReplica {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(software, "software");
        Objects.requireNonNull(holdings, "holdings");
    }

    /**
     * Returns the process that wrote the registration.
     *
     * @return the process; its software is not known if the registration names none
     */
    public ReplicaProcess process() {
        Optional<SoftwareVersion> known =
                Optional.of(software).filter(version -> !version.value().isEmpty());
        return new ReplicaProcess(id, holdings.processStartMillis(), known);
    }

    /**
     * The models and adapters that a replica reports to hold.
     *
     * @param processStartMillis the start time of the replica process, in Unix milliseconds
     * @param acceptedOrders the number of load and unload orders accepted since that start,
     *     {@link #UNKNOWN_ORDER_COUNT} if it is not reported
     * @param residents the models that the replica can run, with the resident adapters of each; not null
     * @param inMemory the models whose checkpoint is cached in main memory, not null
     * @param onDisk the models whose checkpoint is cached on disk, not null
     */
    public record Holdings(
            long processStartMillis,
            long acceptedOrders,
            Map<ModelName, Set<String>> residents,
            Set<ModelName> inMemory,
            Set<ModelName> onDisk) {

        /** The value of {@link #acceptedOrders} if the number is not reported. */
        public static final long UNKNOWN_ORDER_COUNT = -1;

        /** Copies the collections. */
        public Holdings {
            residents = Map.copyOf(residents);
            inMemory = Set.copyOf(inMemory);
            onDisk = Set.copyOf(onDisk);
        }
    }
}
