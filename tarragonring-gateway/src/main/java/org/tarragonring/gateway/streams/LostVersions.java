package org.tarragonring.gateway.streams;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.policy.streams.StreamAssignment;

/**
 * What an entry had read of the record of versions when the store came back from an older copy. Immutable.
 *
 * @param versions the versions that may have begun running streams, by service
 * @param assignments where the streams of each service began
 * @param isComplete whether the entry knew all that was recorded
 */
record LostVersions(
        Map<ServiceName, Set<SoftwareVersion>> versions,
        Map<ServiceName, StreamAssignment> assignments,
        boolean isComplete) {

    /** Nothing was lost, or it is recorded again. */
    static final LostVersions NONE = new LostVersions(Map.of(), Map.of(), false);

    /**
     * Adds what was recorded before a further restore.
     *
     * @param recorded what the entry has read or written last
     * @param mayRun whether a stream of a version may still run
     */
    LostVersions with(RecordedVersions recorded, BiPredicate<ServiceName, SoftwareVersion> mayRun) {
        Map<ServiceName, Set<SoftwareVersion>> allVersions = new HashMap<>(versions);
        recorded.versions().forEach((service, each) -> {
            Set<SoftwareVersion> kept = new TreeSet<>(versions.getOrDefault(service, Set.of()));
            each.stream().filter(version -> mayRun.test(service, version)).forEach(kept::add);
            if (!kept.isEmpty()) {
                allVersions.put(service, kept);
            }
        });
        Map<ServiceName, StreamAssignment> allAssignments = new HashMap<>(assignments);
        recorded.assignments()
                .forEach((service, each) -> allAssignments.merge(service, each, StreamAssignment::mergedWith));
        return new LostVersions(allVersions, allAssignments, recorded.isComplete());
    }
}
