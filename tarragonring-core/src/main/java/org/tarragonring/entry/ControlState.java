package org.tarragonring.entry;

import java.util.List;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.Member;
import org.tarragonring.placement.ModelCoordinator;

/**
 * A snapshot of the state of a control plane. It is served to operators as JSON, with the component names as property
 * names.
 *
 * @param entry the id of the entry, not null
 * @param epoch the epoch of the entry's lease, 0 if the entry has not been started
 * @param leaseValid whether the lease is valid
 * @param generation the active configuration generation, 0 if there is none
 * @param ready whether the entry may serve calls
 * @param members the known entries, including this one; empty before the start; not null
 * @param homes the states of the model coordinators on this entry, not null
 * @param invariantBreaches the number of changes that were rejected because they would have violated an invariant
 */
public record ControlState(
        EntryId entry,
        long epoch,
        boolean leaseValid,
        long generation,
        boolean ready,
        List<Member> members,
        List<ModelCoordinator.CoordinatorState> homes,
        long invariantBreaches) {}
