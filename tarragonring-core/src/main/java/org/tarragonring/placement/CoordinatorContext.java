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
 * Holds the dependencies of an entry's model coordinators.
 *
 * @param placement the dependencies of placement operations, not null
 * @param loader loads replicas, not null
 * @param releaser releases replicas, not null
 * @param reconciler repairs records that failed entries left inconsistent, not null
 * @param activeSlots the slots that this entry is currently loading or releasing; a concurrent set, not null
 * @param planner ranks the upstreams for a load, not null
 * @param loadTimes estimates load durations, not null
 * @param idlePolicy decides how long idle models stay loaded, not null
 * @param directory the known upstreams, not null
 * @param config the current configuration, not null
 * @param slotIds generates slot ids that are unique across all processes, not null
 * @param placementSender sends a model's placement to an entry, not null
 * @since 0.1.0
 */
public record CoordinatorContext(
        PlacementContext placement,
        ReplicaLoader loader,
        ReplicaReleaser releaser,
        Reconciler reconciler,
        Set<SlotId> activeSlots,
        LoadPlanner planner,
        LoadTimeEstimator loadTimes,
        IdlePolicy idlePolicy,
        UpstreamDirectory directory,
        ConfigHolder config,
        Supplier<SlotId> slotIds,
        BiConsumer<EntryId, PeerMessage.Placement> placementSender) {}
