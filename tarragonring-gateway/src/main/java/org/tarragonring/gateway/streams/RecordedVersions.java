package org.tarragonring.gateway.streams;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.streams.SlotVersions;
import org.tarragonring.policy.streams.StreamAssignment;
import org.tarragonring.policy.streams.StreamSlot;

/**
 * The record of software versions as it is stored.
 *
 * @param objectVersion the version of the object in the store
 * @param versions the recorded versions of each service
 * @param assignments the versions at which the streams of each service begin
 * @param isComplete whether all versions that may have begun streams are recorded
 * @param era the era of the store in which the record was written
 */
record RecordedVersions(
        long objectVersion,
        Map<ServiceName, Set<SoftwareVersion>> versions,
        Map<ServiceName, StreamAssignment> assignments,
        boolean isComplete,
        StoreEra era) {

    /** The version of replicas that tell none. */
    private static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

    static RecordedVersions absent(boolean isComplete, StoreEra era) {
        return new RecordedVersions(ObjectStore.ABSENT_VERSION, Map.of(), Map.of(), isComplete, era);
    }

    /**
     * Decodes a stored record. One that cannot be read is not complete.
     *
     * @param object the stored object
     * @param newestEra the era of a record that cannot be read, so that it is not taken for one of an older copy
     */
    static RecordedVersions decode(StoredObject object, StoreEra newestEra) {
        try {
            VersionRecord record = Json.read(object.value(), VersionRecord.class);
            Map<ServiceName, Set<SoftwareVersion>> versions = record.toVersions();
            return new RecordedVersions(
                    object.version(),
                    versions,
                    withUnknown(record.toAssignments(), versions),
                    !record.incomplete(),
                    new StoreEra(record.era()));
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "services", "cannot be read: " + e.getMessage());
            return new RecordedVersions(object.version(), Map.of(), Map.of(), false, newestEra);
        }
    }

    /** Adds the services whose streams began where entries of an earlier release chose, which have recorded no slots. */
    private static Map<ServiceName, StreamAssignment> withUnknown(
            Map<ServiceName, StreamAssignment> recorded, Map<ServiceName, Set<SoftwareVersion>> versions) {
        Map<ServiceName, StreamAssignment> assignments = new HashMap<>(recorded);
        versions.forEach((service, each) ->
                assignments.putIfAbsent(service, StreamAssignment.unknown(each).retaining(each)));
        assignments.keySet().retainAll(versions.keySet());
        return assignments;
    }

    /** Encodes the value of the record. */
    byte[] encode() {
        return Json.write(VersionRecord.of(this));
    }

    RecordedVersions withObjectVersion(long newVersion) {
        return new RecordedVersions(newVersion, versions, assignments, isComplete, era);
    }

    RecordedVersions withComplete(boolean isNowComplete) {
        return new RecordedVersions(objectVersion, versions, assignments, isNowComplete, era);
    }

    /** Returns whether the record says the same as another one, which may be stored at another version. */
    boolean hasContentOf(RecordedVersions other) {
        return withObjectVersion(other.objectVersion).equals(other);
    }

    boolean isAbsent() {
        return objectVersion == ObjectStore.ABSENT_VERSION;
    }

    Set<SoftwareVersion> of(ServiceName service) {
        return versions.getOrDefault(service, Set.of());
    }

    /**
     * Finds the version that began all running streams of a service, or all those of a slot.
     *
     * @param service the service
     * @param slot the slot, empty if it is not known
     * @param listed the versions of the listed replicas
     * @param newestEra the era of the store
     * @return the version, empty if it is not known
     */
    Optional<SoftwareVersion> only(
            ServiceName service, Optional<StreamSlot> slot, Set<SoftwareVersion> listed, StoreEra newestEra) {
        Set<SoftwareVersion> recorded = of(service);
        boolean isKnown = isComplete && era.equals(newestEra) && recorded.containsAll(listed);
        if (!isKnown || recorded.isEmpty() || recorded.contains(UNKNOWN)) {
            return Optional.empty();
        }
        return recorded.size() == 1
                ? Optional.of(recorded.iterator().next())
                : slot.flatMap(each -> slot(service, each).only());
    }

    SlotVersions slot(ServiceName service, StreamSlot slot) {
        return assignment(service).of(slot);
    }

    StreamAssignment assignment(ServiceName service) {
        return assignments.getOrDefault(service, StreamAssignment.unknown(Set.of()));
    }

    /** Returns the models of which several versions may have begun the running streams of a slot, for the log. */
    Set<String> unsettledModels() {
        Set<String> models = new TreeSet<>();
        assignments
                .values()
                .forEach(assignment -> assignment.models().forEach((model, slots) -> {
                    if (!slots.stream().allMatch(SlotVersions::isSettled)) {
                        models.add(model);
                    }
                }));
        return models;
    }

    /** Returns whether several versions of a service may have begun running streams. */
    boolean hasSeveralVersions() {
        return versions.values().stream().anyMatch(each -> each.size() > 1);
    }
}
