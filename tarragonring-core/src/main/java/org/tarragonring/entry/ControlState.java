package org.tarragonring.entry;

import java.util.List;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.Member;
import org.tarragonring.placement.ModelCoordinator;

/**
 * A control plane's state.
 *
 * @param entry the entry, not null
 * @param epoch its lease epoch, 0 before the first
 * @param leaseValid whether the lease holds
 * @param generation the configuration generation in force, 0 before the first
 * @param ready whether the entry may serve
 * @param members what is known of other entries, not null
 * @param homes the models that it looks after, not null
 * @param invariantBreaches how many steps were refused because an invariant would not have held
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
