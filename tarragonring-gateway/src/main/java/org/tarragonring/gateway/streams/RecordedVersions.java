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
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoredObject;

/**
 * The record of software versions as it is stored.
 *
 * @param objectVersion the version of the object in the store
 * @param versions the recorded versions of each service
 * @param isComplete whether all versions that may have begun streams are recorded
 * @param era the era of the store in which the record was written
 */
record RecordedVersions(
        long objectVersion, Map<ServiceName, Set<SoftwareVersion>> versions, boolean isComplete, StoreEra era) {

    static RecordedVersions absent(boolean isComplete, StoreEra era) {
        return new RecordedVersions(ObjectStore.ABSENT_VERSION, Map.of(), isComplete, era);
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
            return new RecordedVersions(
                    object.version(), record.toVersions(), !record.incomplete(), new StoreEra(record.era()));
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "services", "cannot be read: " + e.getMessage());
            return new RecordedVersions(object.version(), Map.of(), false, newestEra);
        }
    }

    /** Encodes the value of the record. */
    byte[] encode() {
        return Json.write(VersionRecord.of(this));
    }

    RecordedVersions withObjectVersion(long newVersion) {
        return new RecordedVersions(newVersion, versions, isComplete, era);
    }

    RecordedVersions withComplete(boolean isNowComplete) {
        return new RecordedVersions(objectVersion, versions, isNowComplete, era);
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
     * The JSON value of the record.
     *
     * @param era the number of the era in which the record was written, 0 if it was not told
     * @param incomplete whether versions that may have begun streams may be missing
     * @param services the names of the versions, by the name of the service
     */
    private record VersionRecord(long era, boolean incomplete, Map<String, List<String>> services) {

        static VersionRecord of(RecordedVersions recorded) {
            Map<String, List<String>> services = new TreeMap<>();
            recorded.versions()
                    .forEach((service, each) -> services.put(
                            service.value(),
                            each.stream().map(SoftwareVersion::value).toList()));
            return new VersionRecord(recorded.era().number(), !recorded.isComplete(), services);
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
