package org.tarragonring.gateway.streams;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;

/**
 * The versions of the software of the listed replicas.
 *
 * <p>Not thread-safe.
 */
final class ListedVersions {

    private final ReplicaCatalog catalog;
    private final CurrentReplicas currentReplicas;
    private final StoredVersionRecord requests;

    ListedVersions(ReplicaCatalog catalog, CurrentReplicas currentReplicas, StoredVersionRecord requests) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.currentReplicas = Objects.requireNonNull(currentReplicas, "currentReplicas");
        this.requests = Objects.requireNonNull(requests, "requests");
    }

    /** Returns the versions of the replicas that this entry knows, by service; a new map. */
    Map<ServiceName, Set<SoftwareVersion>> all() {
        return byService(catalog.all().stream().map(ReplicaState::listed).toList());
    }

    /** Returns the versions of the replicas of a service, empty if an up-to-date list cannot be read; never fails. */
    CompletableFuture<Optional<Set<SoftwareVersion>>> upToDate(ServiceName service) {
        if (catalog.isListCurrent()) {
            return CompletableFuture.completedFuture(Optional.of(all().getOrDefault(service, Set.of())));
        }
        return requests.retry(currentReplicas::read, ServingVersions.READ_ATTEMPTS)
                .thenApply(replicas -> replicas.map(listed -> byService(listed).getOrDefault(service, Set.of())));
    }

    private static Map<ServiceName, Set<SoftwareVersion>> byService(List<ListedReplica> replicas) {
        Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
        for (ListedReplica replica : replicas) {
            versions.computeIfAbsent(replica.service(), service -> new TreeSet<>())
                    .add(replica.software());
        }
        return versions;
    }
}
