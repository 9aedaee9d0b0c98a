package org.tarragonring.policy.replica;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;

/**
 * What the list of replicas says of one.
 *
 * @param id the replica, not null
 * @param service the service it belongs to, not null
 * @param address where it listens, not null
 * @param failureDomain the failure domain it is in, not null
 * @param slots the requests it runs at once
 * @param draining whether it is about to leave
 * @param holdings what it held when it was listed, not null
 * @since 0.2.0
 */
public record ListedReplica(
        UpstreamId id,
        ServiceName service,
        HostPort address,
        String failureDomain,
        int slots,
        boolean draining,
        Holdings holdings) {

    /** Checks the arguments. */
    public ListedReplica {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(holdings, "holdings");
    }

    /**
     * What a replica says it holds.
     *
     * @param bornMillis when its process started, in Unix milliseconds
     * @param orders the number of orders it has accepted since, {@link #UNKNOWN_ORDERS} if it does not say
     * @param residents the models that it can run, with the adapters of each; not null
     * @param inMemory the models of which it keeps a copy in main memory, not null
     * @param onDisk the models of which it keeps a copy on disk, not null
     */
    public record Holdings(
            long bornMillis,
            long orders,
            Map<ModelName, Set<String>> residents,
            Set<ModelName> inMemory,
            Set<ModelName> onDisk) {

        /** Stands for a number of orders that the replica does not say. */
        public static final long UNKNOWN_ORDERS = -1;

        /** Copies the collections. */
        public Holdings {
            residents = Map.copyOf(residents);
            inMemory = Set.copyOf(inMemory);
            onDisk = Set.copyOf(onDisk);
        }
    }
}
