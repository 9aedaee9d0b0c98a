package org.tarragonring.policy.streams;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;

import org.tarragonring.ids.SoftwareVersion;

/**
 * Says for each slot of a service's streams at which versions of the replicas' software they begin. Models whose streams all
 * begin where most others do are not listed. Immutable.
 *
 * @param base the versions of the models that are not listed, not null
 * @param models the versions of the {@value StreamSlot#COUNT} slots of each model that differs, by the name of the model;
 *     not null
 * @since 0.2.0
 */
public record StreamAssignment(SlotVersions base, Map<String, List<SlotVersions>> models) {

    /** Copies the map, without models that do not differ. */
    public StreamAssignment {
        Objects.requireNonNull(base, "base");
        Map<String, List<SlotVersions>> differing = new TreeMap<>();
        for (Map.Entry<String, List<SlotVersions>> model : models.entrySet()) {
            if (model.getValue().size() != StreamSlot.COUNT) {
                throw new IllegalArgumentException("model %s must have %d slots but has %d"
                        .formatted(
                                model.getKey(),
                                StreamSlot.COUNT,
                                model.getValue().size()));
            }
            if (!model.getValue().stream().allMatch(base::equals)) {
                differing.put(model.getKey(), List.copyOf(model.getValue()));
            }
        }
        models = Collections.unmodifiableMap(differing);
    }

    /**
     * Returns the assignment of a service whose streams all begin at one version.
     *
     * @param version the version, not null
     * @return the assignment
     */
    public static StreamAssignment to(SoftwareVersion version) {
        return new StreamAssignment(SlotVersions.of(version), Map.of());
    }

    /**
     * Returns the assignment of a service of which it is not known where its streams began.
     *
     * @param versions the versions that may have begun them, not null
     * @return an assignment that allows no stream to begin before it is changed
     */
    public static StreamAssignment unknown(Set<SoftwareVersion> versions) {
        return new StreamAssignment(new SlotVersions(Set.of(), versions), Map.of());
    }

    /**
     * Returns the assignment of a service of which no stream has begun.
     *
     * @param base the version of models that a single version holds, not null
     * @param holders the number of replicas of each version that hold a model, by the name of the model; not null
     * @return the assignment, with the slots of each model distributed over the versions that hold it
     */
    public static StreamAssignment initial(
            SoftwareVersion base, Map<String, ? extends Map<SoftwareVersion, Integer>> holders) {
        Map<String, List<SlotVersions>> models = new TreeMap<>();
        holders.forEach((model, replicas) -> models.put(model, distribute(new TreeMap<>(replicas))));
        return new StreamAssignment(SlotVersions.of(base), models);
    }

    /** Gives each version in turn the slots that correspond to its part of the replicas. */
    private static List<SlotVersions> distribute(Map<SoftwareVersion, Integer> replicas) {
        int total = replicas.values().stream().mapToInt(Integer::intValue).sum();
        List<SlotVersions> slots = new ArrayList<>();
        int replicasBefore = 0;
        for (Map.Entry<SoftwareVersion, Integer> version : replicas.entrySet()) {
            replicasBefore += version.getValue();
            while (slots.size() < Math.round((double) StreamSlot.COUNT * replicasBefore / total)) {
                slots.add(SlotVersions.of(version.getKey()));
            }
        }
        return slots;
    }

    /**
     * Returns the versions of a slot.
     *
     * @param slot the slot, not null
     * @return the versions
     */
    public SlotVersions of(StreamSlot slot) {
        List<SlotVersions> slots = models.get(slot.model());
        return slots == null ? base : slots.get(slot.number());
    }

    /**
     * Checks whether it is known for all slots which version begins their streams.
     *
     * @return false while several versions may have begun running streams of a slot
     */
    public boolean isSettled() {
        return base.isSettled()
                && models.values().stream().allMatch(slots -> slots.stream().allMatch(SlotVersions::isSettled));
    }

    /**
     * Lets the streams of a slot begin at a version, as no replica at which they may begin can run one now.
     *
     * @param slot the slot, not null
     * @param version the version, not null
     * @param held the versions of which a replica holds the model, not null
     * @return an assignment that allows it: all slots of the model whose versions no replica holds are moved; if one holds
     *     the slot's version, the slot is moved, or opened to the other version as well if it was moved before
     */
    public StreamAssignment allowing(StreamSlot slot, SoftwareVersion version, Set<SoftwareVersion> held) {
        if (of(slot).open().contains(version)) {
            return this;
        }
        if (Collections.disjoint(of(slot).open(), held)) {
            return changed(
                    slot.model(),
                    versions -> Collections.disjoint(versions.open(), held) ? versions.movedTo(version) : versions);
        }
        SlotVersions moved = of(slot).isSettled() ? of(slot).movedTo(version) : of(slot).openedTo(version);
        List<SlotVersions> slots = slotsOf(slot.model());
        slots.set(slot.number(), moved);
        return with(slot.model(), slots);
    }

    private StreamAssignment changed(String model, UnaryOperator<SlotVersions> change) {
        return with(model, slotsOf(model).stream().map(change).toList());
    }

    private StreamAssignment with(String model, List<SlotVersions> slots) {
        Map<String, List<SlotVersions>> changed = new TreeMap<>(models);
        changed.put(model, slots);
        return new StreamAssignment(base, changed);
    }

    private List<SlotVersions> slotsOf(String model) {
        return new ArrayList<>(models.getOrDefault(model, Collections.nCopies(StreamSlot.COUNT, base)));
    }

    /**
     * Changes the versions of the models that are not listed, and of all slots of those that are.
     *
     * @param onBase changes the former, not null
     * @param onSlot changes the latter, not null
     * @return the new assignment
     */
    public StreamAssignment changed(
            UnaryOperator<SlotVersions> onBase, BiFunction<StreamSlot, SlotVersions, SlotVersions> onSlot) {
        Map<String, List<SlotVersions>> changed = new TreeMap<>();
        models.forEach((model, slots) -> {
            List<SlotVersions> changedSlots = new ArrayList<>();
            for (SlotVersions slot : slots) {
                changedSlots.add(onSlot.apply(new StreamSlot(model, changedSlots.size()), slot));
            }
            changed.put(model, changedSlots);
        });
        return new StreamAssignment(onBase.apply(base), changed);
    }

    /**
     * Forgets versions of which no stream runs.
     *
     * @param versions the versions that are kept, not null
     * @return the new assignment
     */
    public StreamAssignment retaining(Set<SoftwareVersion> versions) {
        return versions.size() == 1
                ? to(versions.iterator().next())
                : changed(slot -> slot.retaining(versions), (slot, known) -> known.retaining(versions));
    }

    /**
     * Adds what another entry knows of the same service.
     *
     * @param other the other assignment, not null
     * @return an assignment that contains both
     */
    public StreamAssignment mergedWith(StreamAssignment other) {
        Set<String> names = new TreeSet<>(models.keySet());
        names.addAll(other.models.keySet());
        Map<String, List<SlotVersions>> merged = new TreeMap<>();
        for (String model : names) {
            List<SlotVersions> slots = new ArrayList<>();
            for (int number = 0; number < StreamSlot.COUNT; number++) {
                StreamSlot slot = new StreamSlot(model, number);
                slots.add(of(slot).mergedWith(other.of(slot)));
            }
            merged.put(model, slots);
        }
        return new StreamAssignment(base.mergedWith(other.base), merged);
    }
}
