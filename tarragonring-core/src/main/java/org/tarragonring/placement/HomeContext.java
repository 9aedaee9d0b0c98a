package org.tarragonring.placement;

import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.tarragonring.config.ConfigHolder;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.SlotId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * What the homes of an entry work with.
 *
 * @param placement what placement actions work with, not null
 * @param loader loads replicas, not null
 * @param releaser frees placements, not null
 * @param reconciler settles what others left, not null
 * @param active the slots that this entry is loading or freeing now, not null
 * @param planner ranks upstreams, not null
 * @param loadTimes how long loads take, not null
 * @param idlePolicy how long idle models stay, not null
 * @param directory the upstreams, not null
 * @param config the configuration in force, not null
 * @param slotIds makes slot ids that no other process makes, not null
 * @param answers sends a placement to an entry, not null
 * @since 0.1.0
 */
public record HomeContext(
        PlacementContext placement,
        Loader loader,
        Releaser releaser,
        Reconciler reconciler,
        Set<SlotId> active,
        LoadPlanner planner,
        LoadTimes loadTimes,
        IdlePolicy idlePolicy,
        UpstreamDirectory directory,
        ConfigHolder config,
        Supplier<SlotId> slotIds,
        BiConsumer<EntryId, PeerMessage.Placement> answers) {}
