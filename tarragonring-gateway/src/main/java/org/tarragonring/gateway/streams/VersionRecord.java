package org.tarragonring.gateway.streams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.policy.streams.SlotVersions;
import org.tarragonring.policy.streams.StreamAssignment;

/**
 * The JSON value of the record of software versions.
 *
 * @param era the number of the era in which the record was written, 0 if it was not told
 * @param incomplete whether versions that may have begun streams may be missing
 * @param services the names of the versions, by the name of the service
 * @param streams where the streams of each service with several versions begin, by the name of the service; null in a
 *     record of an earlier release
 */
record VersionRecord(
        long era, boolean incomplete, Map<String, List<String>> services, Map<String, Assignment> streams) {

    /** The radix of the digits that stand for the distinct versions of a model's slots. */
    private static final int RADIX = 16;

    static VersionRecord of(RecordedVersions recorded) {
        Map<String, List<String>> services = new TreeMap<>();
        recorded.versions().forEach((service, each) -> services.put(service.value(), names(each)));
        Map<String, Assignment> streams = new TreeMap<>();
        recorded.versions().forEach((service, each) -> {
            if (each.size() > 1) {
                streams.put(service.value(), Assignment.of(recorded.assignment(service)));
            }
        });
        return new VersionRecord(recorded.era().number(), !recorded.isComplete(), services, streams);
    }

    Map<ServiceName, Set<SoftwareVersion>> toVersions() {
        Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
        services.forEach((service, names) -> versions.put(new ServiceName(service), VersionRecord.versions(names)));
        return versions;
    }

    Map<ServiceName, StreamAssignment> toAssignments() {
        Map<ServiceName, StreamAssignment> assignments = new HashMap<>();
        if (streams != null) {
            streams.forEach((service, each) -> assignments.put(new ServiceName(service), each.toAssignment()));
        }
        return assignments;
    }

    private static List<String> names(Collection<SoftwareVersion> versions) {
        return versions.stream().map(SoftwareVersion::value).toList();
    }

    private static Set<SoftwareVersion> versions(List<String> names) {
        return new TreeSet<>(names.stream().map(SoftwareVersion::new).toList());
    }

    /**
     * The assignment of the streams of a service.
     *
     * @param base the versions of the models that are not listed
     * @param models the versions of the slots of the others, by the name of the model
     */
    private record Assignment(Slot base, Map<String, Slots> models) {

        static Assignment of(StreamAssignment assignment) {
            Map<String, Slots> models = new TreeMap<>();
            assignment.models().forEach((model, slots) -> models.put(model, Slots.of(slots)));
            return new Assignment(Slot.of(assignment.base()), models);
        }

        StreamAssignment toAssignment() {
            Map<String, List<SlotVersions>> slots = new TreeMap<>();
            models.forEach((model, each) -> slots.put(model, each.toSlots()));
            return new StreamAssignment(base.toVersions(), slots);
        }
    }

    /**
     * The slots of a model.
     *
     * @param distinct the versions that occur
     * @param numbers for each slot a hexadecimal digit, the index of its versions
     */
    private record Slots(List<Slot> distinct, String numbers) {

        static Slots of(List<SlotVersions> slots) {
            List<SlotVersions> distinct = slots.stream().distinct().toList();
            String numbers = slots.stream()
                    .map(slot -> Integer.toString(distinct.indexOf(slot), RADIX))
                    .collect(Collectors.joining());
            return new Slots(distinct.stream().map(Slot::of).toList(), numbers);
        }

        List<SlotVersions> toSlots() {
            List<SlotVersions> slots = new ArrayList<>();
            for (char digit : numbers.toCharArray()) {
                slots.add(distinct.get(Character.digit(digit, RADIX)).toVersions());
            }
            return slots;
        }
    }

    /**
     * The versions of a slot.
     *
     * @param open the names of the versions at which streams begin
     * @param former the names of those that began streams before
     */
    private record Slot(List<String> open, List<String> former) {

        static Slot of(SlotVersions versions) {
            return new Slot(names(versions.open()), names(versions.former()));
        }

        SlotVersions toVersions() {
            return new SlotVersions(VersionRecord.versions(open), VersionRecord.versions(former));
        }
    }
}
