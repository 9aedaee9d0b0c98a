package org.tarragonring.gateway.streams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.streams.SlotVersions;
import org.tarragonring.policy.streams.StreamAssignment;
import org.tarragonring.policy.streams.StreamSlot;
import org.tarragonring.time.MonotonicClock;

/**
 * Computes what is to be recorded of the slots of streams: where streams of this entry have to begin, and which versions
 * have no more running streams of a slot.
 *
 * <p>Not thread-safe.
 */
final class SlotAssignments {

    private final ReplicaCatalog catalog;
    private final MonotonicClock clock;
    private final Set<Request> requests = new HashSet<>();

    /** Since when this entry knows the versions of slots that are not settled. */
    private final Map<SlotKey, Seen> unsettled = new HashMap<>();

    SlotAssignments(ReplicaCatalog catalog, MonotonicClock clock) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Adds a slot whose streams have to begin at a version. */
    void add(Request request) {
        requests.add(request);
    }

    /** Removes a slot that was added. */
    void remove(Request request) {
        requests.remove(request);
    }

    /** Remembers since when the slots that are not settled have their versions. */
    void onRecord(RecordedVersions record) {
        Map<SlotKey, SlotVersions> current = new HashMap<>();
        record.assignments().forEach((service, assignment) -> {
            if (!assignment.isSettled()) {
                assignment.changed(
                        base -> put(current, new SlotKey(service, Optional.empty()), base),
                        (slot, versions) -> put(current, new SlotKey(service, Optional.of(slot)), versions));
            }
        });
        unsettled.keySet().retainAll(current.keySet());
        current.forEach((key, versions) -> {
            Seen seen = unsettled.get(key);
            if (seen == null || !seen.versions.equals(versions)) {
                unsettled.put(key, new Seen(versions, clock.millis()));
            }
        });
    }

    private static SlotVersions put(Map<SlotKey, SlotVersions> slots, SlotKey key, SlotVersions versions) {
        if (!versions.isSettled()) {
            slots.put(key, versions);
        }
        return versions;
    }

    /** Counts the age of all slots from now, as their versions may have changed and returned while nobody watched. */
    void restartAges() {
        unsettled.replaceAll((key, seen) -> new Seen(seen.versions, clock.millis()));
    }

    /**
     * Returns the assignments that are to be recorded.
     *
     * @param record the record as it is
     * @param versions the versions that are to be recorded
     * @param lost the assignments that a restore of the store may have lost
     * @param settledMillis the time before which a slot must have got its versions to be settled now, on the monotonic
     *     clock; empty to settle none
     */
    Map<ServiceName, StreamAssignment> wanted(
            RecordedVersions record,
            Map<ServiceName, Set<SoftwareVersion>> versions,
            Map<ServiceName, StreamAssignment> lost,
            Optional<Long> settledMillis) {
        Map<ServiceName, StreamAssignment> wanted = new HashMap<>();
        versions.forEach((service, each) -> {
            StreamAssignment assignment = record.of(service).isEmpty() && !lost.containsKey(service)
                    ? initial(service, each)
                    : merged(Optional.ofNullable(record.assignments().get(service)), lost.get(service));
            assignment = settled(service, assignment.retaining(each), settledMillis);
            for (Request request : requests) {
                if (request.service.equals(service) && each.contains(request.version)) {
                    assignment =
                            assignment.allowing(request.slot, request.version, holders(service, request.slot.model()));
                }
            }
            wanted.put(service, assignment);
        });
        return wanted;
    }

    private static StreamAssignment merged(Optional<StreamAssignment> recorded, StreamAssignment lost) {
        if (lost == null) {
            return recorded.orElseThrow();
        }
        return recorded.map(lost::mergedWith).orElse(lost);
    }

    private StreamAssignment settled(ServiceName service, StreamAssignment assignment, Optional<Long> settledMillis) {
        if (settledMillis.isEmpty() || assignment.isSettled()) {
            return assignment;
        }
        long beforeMillis = settledMillis.get();
        return assignment.changed(
                base -> isOlder(new SlotKey(service, Optional.empty()), base, beforeMillis) ? base.settled(0) : base,
                (slot, versions) -> isOlder(new SlotKey(service, Optional.of(slot)), versions, beforeMillis)
                        ? versions.settled(slot.number())
                        : versions);
    }

    private boolean isOlder(SlotKey key, SlotVersions versions, long beforeMillis) {
        Seen seen = unsettled.get(key);
        return seen != null && seen.versions.equals(versions) && seen.sinceMillis <= beforeMillis;
    }

    /** Distributes the streams of a service of which none has begun yet. */
    private StreamAssignment initial(ServiceName service, Set<SoftwareVersion> versions) {
        Map<SoftwareVersion, Integer> replicas = new HashMap<>();
        Map<String, Map<SoftwareVersion, Integer>> holders = new HashMap<>();
        for (ReplicaState replica : replicasOf(service)) {
            SoftwareVersion version = replica.listed().software();
            if (versions.contains(version)) {
                replicas.merge(version, 1, Integer::sum);
                replica.residents()
                        .keySet()
                        .forEach(model -> holders.computeIfAbsent(model.value(), name -> new HashMap<>())
                                .merge(version, 1, Integer::sum));
            }
        }
        holders.put("", replicas);
        SoftwareVersion base = versions.iterator().next();
        for (SoftwareVersion version : versions) {
            if (replicas.getOrDefault(version, 0) > replicas.getOrDefault(base, 0)) {
                base = version;
            }
        }
        if (replicas.isEmpty()) {
            holders.clear();
        }
        return StreamAssignment.initial(base, holders);
    }

    /** Returns the versions of which a replica that is not leaving can run a model, any replica for no model. */
    private Set<SoftwareVersion> holders(ServiceName service, String model) {
        return replicasOf(service).stream()
                .filter(replica -> model.isEmpty() || replica.holds(new ModelName(model), ""))
                .map(ReplicaState::listed)
                .map(ListedReplica::software)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private List<ReplicaState> replicasOf(ServiceName service) {
        return catalog.all().stream()
                .filter(replica -> replica.listed().service().equals(service))
                .filter(replica -> !replica.availability().isLeaving())
                .toList();
    }

    /**
     * A slot whose streams have to begin at a version.
     *
     * @param service the service
     * @param slot the slot
     * @param version the version
     */
    record Request(ServiceName service, StreamSlot slot, SoftwareVersion version) {}

    /** A slot of a service; without a number for the models that are not listed. */
    private record SlotKey(ServiceName service, Optional<StreamSlot> slot) {}

    /** The versions of a slot, and when this entry first read them, in milliseconds of the monotonic clock. */
    private record Seen(SlotVersions versions, long sinceMillis) {}
}
