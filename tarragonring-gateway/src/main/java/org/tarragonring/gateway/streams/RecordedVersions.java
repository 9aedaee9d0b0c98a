package org.tarragonring.gateway.streams;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoredObject;

/**
 * The record of software versions as it is stored.
 *
 * @param objectVersion the version of the object in the store
 * @param versions the recorded versions of each service
 * @param isComplete whether all versions that may have begun streams were recorded
 */
record RecordedVersions(long objectVersion, Map<ServiceName, Set<SoftwareVersion>> versions, boolean isComplete) {

    static RecordedVersions absent(boolean isComplete) {
        return new RecordedVersions(ObjectStore.ABSENT_VERSION, Map.of(), isComplete);
    }

    /** Decodes a stored record. One that cannot be read is not complete. */
    static RecordedVersions decode(StoredObject object) {
        try {
            VersionRecord record = Json.read(object.value(), VersionRecord.class);
            return new RecordedVersions(object.version(), record.toVersions(), true);
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "services", "cannot be read: " + e.getMessage());
            return new RecordedVersions(object.version(), Map.of(), false);
        }
    }

    /** Encodes the value of a record. */
    static byte[] encode(Map<ServiceName, Set<SoftwareVersion>> versions) {
        return Json.write(VersionRecord.of(versions));
    }

    boolean isAbsent() {
        return objectVersion == ObjectStore.ABSENT_VERSION;
    }

    Set<SoftwareVersion> of(ServiceName service) {
        return versions.getOrDefault(service, Set.of());
    }

    /**
     * The JSON value of the record.
     *
     * @param services the names of the versions, by the name of the service
     */
    private record VersionRecord(Map<String, List<String>> services) {

        static VersionRecord of(Map<ServiceName, Set<SoftwareVersion>> versions) {
            Map<String, List<String>> services = new TreeMap<>();
            versions.forEach((service, each) -> services.put(
                    service.value(), each.stream().map(SoftwareVersion::value).toList()));
            return new VersionRecord(services);
        }

        Map<ServiceName, Set<SoftwareVersion>> toVersions() {
            Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
            services.forEach((service, names) -> versions.put(
                    new ServiceName(service),
                    new TreeSet<>(names.stream().map(SoftwareVersion::new).toList())));
            return versions;
        }
    }
}
