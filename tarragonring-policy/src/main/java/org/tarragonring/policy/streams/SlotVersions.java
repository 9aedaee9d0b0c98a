package org.tarragonring.policy.streams;

import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.tarragonring.ids.SoftwareVersion;

/**
 * The versions of the replicas' software that may have begun the running streams of a slot. Immutable.
 *
 * @param open the versions at which streams may begin now, not null
 * @param former the versions at which streams began until they were moved elsewhere, and may still run; not null
 * @since 0.2.0
 */
public record SlotVersions(Set<SoftwareVersion> open, Set<SoftwareVersion> former) {

    /** A slot in which no stream runs and none may begin. */
    public static final SlotVersions NONE = new SlotVersions(Set.of(), Set.of());

    /** Copies the sets. A version that is open is not among the former ones. */
    public SlotVersions {
        open = Collections.unmodifiableSet(new TreeSet<>(open));
        Set<SoftwareVersion> closed = new TreeSet<>(former);
        closed.removeAll(open);
        former = Collections.unmodifiableSet(closed);
    }

    /**
     * Returns a slot whose streams begin at one version, and always did.
     *
     * @param version the version, not null
     * @return the slot's versions
     */
    public static SlotVersions of(SoftwareVersion version) {
        return new SlotVersions(Set.of(version), Set.of());
    }

    /**
     * Returns the version that began all running streams.
     *
     * @return the version, empty if there may be several, or none
     */
    public Optional<SoftwareVersion> only() {
        return open.size() + former.size() == 1 ? Optional.of(all().iterator().next()) : Optional.empty();
    }

    /**
     * Checks whether it is known which version begins the streams of the slot.
     *
     * @return false while several versions may have begun running streams
     */
    public boolean isSettled() {
        return former.isEmpty() && open.size() <= 1;
    }

    /**
     * Lets streams begin at one version only from now on.
     *
     * @param version the version, not null
     * @return the new versions
     */
    public SlotVersions movedTo(SoftwareVersion version) {
        return new SlotVersions(Set.of(version), all());
    }

    /**
     * Lets streams begin at one more version.
     *
     * @param version the version, not null
     * @return the new versions
     */
    public SlotVersions openedTo(SoftwareVersion version) {
        Set<SoftwareVersion> versions = new TreeSet<>(open);
        versions.add(Objects.requireNonNull(version, "version"));
        return new SlotVersions(versions, former);
    }

    /**
     * Forgets what is over: the former versions if there are any, as their streams have ended; otherwise lets streams begin
     * at one of several versions only.
     *
     * @param slotNumber the number of the slot, so that the slots of a model are distributed over the versions
     * @return the new versions
     */
    public SlotVersions settled(int slotNumber) {
        if (!former.isEmpty() || open.size() <= 1) {
            return new SlotVersions(open, Set.of());
        }
        return movedTo(open.stream().skip(slotNumber % open.size()).findFirst().orElseThrow());
    }

    /**
     * Forgets versions of which no stream runs.
     *
     * @param versions the versions that are kept, not null
     * @return the new versions
     */
    public SlotVersions retaining(Set<SoftwareVersion> versions) {
        Set<SoftwareVersion> stillOpen = new TreeSet<>(open);
        stillOpen.retainAll(versions);
        Set<SoftwareVersion> stillFormer = new TreeSet<>(former);
        stillFormer.retainAll(versions);
        return new SlotVersions(stillOpen, stillFormer);
    }

    /**
     * Adds what another entry knows of the same slot.
     *
     * @param other the other versions, not null
     * @return versions that contain both
     */
    public SlotVersions mergedWith(SlotVersions other) {
        Set<SoftwareVersion> bothOpen = new TreeSet<>(open);
        bothOpen.addAll(other.open);
        Set<SoftwareVersion> bothFormer = new TreeSet<>(former);
        bothFormer.addAll(other.former);
        return new SlotVersions(bothOpen, bothFormer);
    }

    private Set<SoftwareVersion> all() {
        Set<SoftwareVersion> all = new TreeSet<>(open);
        all.addAll(former);
        return all;
    }
}
