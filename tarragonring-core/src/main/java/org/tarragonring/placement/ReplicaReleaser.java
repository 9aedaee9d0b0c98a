package org.tarragonring.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Reservation;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.time.Delays;
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/**
 * Releases one replica: unloads it, waits until the engine no longer reports it, and only then removes its slot from
 * the model's record and its reservation from the upstream's record.
 *
 * <p>A load order sent by a previous holder may still be in transit. An engine that checks fencing tokens rejects it
 * once it has accepted the unload order. For any other engine, and for an engine that has restarted since, the
 * releaser waits until such an order can no longer arrive and requests the engine's status again before it removes
 * the reservation.
 *
 * @since 0.1.0
 */
public final class ReplicaReleaser {

    private static final Duration STATUS_POLL_INTERVAL = Duration.ofMillis(100);

    private final PlacementContext context;
    private final Delays delays;
    private final StoreRetry storeRetry;

    /**
     * Creates a releaser.
     *
     * @param context the dependencies of placement operations, not null
     */
    public ReplicaReleaser(PlacementContext context) {
        this.context = Objects.requireNonNull(context, "context");
        this.delays = new Delays(context.timers());
        this.storeRetry = new StoreRetry(context.lease(), delays);
    }

    /**
     * Releases a replica. Does nothing if the upstream's record has no reservation for the slot.
     *
     * @param upstream the upstream on which the replica is, not null
     * @param slot the replica's slot, not null
     * @return completes when slot and reservation are removed; fails if this entry's lease ended or the engine cannot
     *     be reached, in which case any entry may invoke this method again
     */
    public Uni<Void> release(UpstreamId upstream, SlotId slot) {
        return context.records().read(RecordType.UPSTREAM, upstream.value()).chain(upstreamRecord -> {
            Optional<Reservation> reservation = upstreamRecord.body().find(slot);
            if (reservation.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            return reservation.get().state() == ReservationState.RESERVED
                    ? releaseReserved(upstream, reservation.get())
                    : unloadAndRelease(upstream, reservation.get());
        });
    }

    private Uni<Void> releaseReserved(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        upstream.value(),
                        current -> current.find(reservation.slot())
                                .filter(r -> r.state() == ReservationState.RESERVED)
                                .map(r -> current.without(reservation.slot()))
                                .orElse(current))
                .chain(updated -> updated.body().find(reservation.slot()).isPresent()
                        ? release(upstream, reservation.slot())
                        : removeSlot(reservation));
    }

    private Uni<Void> unloadAndRelease(UpstreamId upstream, Reservation reservation) {
        Optional<EngineClient> engine = context.engines().find(upstream);
        if (engine.isEmpty()) {
            return Uni.createFrom()
                    .failure(new PlacementException(
                            PlacementException.Reason.ENGINE_FAILURE,
                            "upstream \"%s\" is not listed as an engine".formatted(upstream)));
        }
        ReplicaToRelease replica = new ReplicaToRelease(upstream, reservation, engine.get());
        boolean loadOrderExecuted = reservation.state() == ReservationState.LOADED;
        return storeRetry
                .run(() -> markUnloading(replica))
                .chain(fence -> engine.get().status().chain(before -> {
                    Unload unload =
                            new Unload(before.incarnation(), context.clock().nanos(), loadOrderExecuted);
                    return sendUnloadOrder(replica, fence).chain(() -> awaitUnloaded(replica, unload));
                }))
                .chain(() -> storeRetry.run(() -> removeSlot(reservation)))
                .chain(() -> storeRetry.run(() -> removeReservation(replica)));
    }

    private Uni<Long> markUnloading(ReplicaToRelease replica) {
        return context.records()
                .update(RecordType.UPSTREAM, replica.upstream.value(), current -> withUnloadingState(current, replica))
                .map(updated -> updated.body().fence());
    }

    private UpstreamRecord withUnloadingState(UpstreamRecord current, ReplicaToRelease replica) {
        context.requireLease(replica.slot());
        Optional<Reservation> reservation = current.find(replica.slot());
        if (reservation.isEmpty()) {
            return current;
        }
        Reservation unloading = reservation
                .get()
                .withState(
                        ReservationState.UNLOADING,
                        context.lease().entry(),
                        context.lease().epoch());
        UpstreamRecord next = current.with(unloading, true);
        context.invariants().checkChange(current, next);
        return next;
    }

    private Uni<Void> sendUnloadOrder(ReplicaToRelease replica, long fence) {
        context.requireLease(replica.slot());
        Reservation reservation = replica.reservation;
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.UNLOAD,
                reservation.slot(),
                reservation.model(),
                reservation.version(),
                reservation.bytes(),
                fence);
        LogEvent.UNLOAD_ORDERED.log(reservation.model(), replica.upstream, reservation.slot(), fence);
        return replica.engine
                .order(order)
                .chain(outcome -> outcome == OrderOutcome.STALE_FENCE
                        ? markUnloading(replica).chain(newFence -> sendUnloadOrder(replica, newFence))
                        : Uni.createFrom().voidItem());
    }

    private Uni<Void> awaitUnloaded(ReplicaToRelease replica, Unload unload) {
        return delays.pollUntilPresent(
                        STATUS_POLL_INTERVAL,
                        () -> replica.engine.status().chain(status -> checkUnloaded(replica, unload, status)))
                .replaceWithVoid();
    }

    /** Repeats the unload order while the engine reports the slot, because a late load order may load it again. */
    private Uni<Optional<Boolean>> checkUnloaded(ReplicaToRelease replica, Unload unload, EngineStatus status) {
        context.requireLease(replica.slot());
        if (status.find(replica.slot()).isPresent()) {
            return markUnloading(replica)
                    .chain(fence -> sendUnloadOrder(replica, fence))
                    .replaceWith(Optional.<Boolean>empty());
        }
        boolean done = isLateLoadImpossible(status, unload);
        return Uni.createFrom().item(done ? Optional.of(true) : Optional.<Boolean>empty());
    }

    private boolean isLateLoadImpossible(EngineStatus status, Unload unload) {
        boolean rejectsLateLoad = status.honoursFence() && status.incarnation().equals(unload.incarnation);
        if (unload.loadOrderExecuted || rejectsLateLoad) {
            return true;
        }
        long waitedNanos = context.clock().nanos() - unload.sinceNanos;
        return waitedNanos >= context.lease().timing().maxOrderDelay().toNanos();
    }

    private Uni<Void> removeSlot(Reservation reservation) {
        return context.records()
                .update(RecordType.MODEL, reservation.model().value(), current -> current.without(reservation.slot()))
                .replaceWithVoid();
    }

    private Uni<Void> removeReservation(ReplicaToRelease replica) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        replica.upstream.value(),
                        current -> current.find(replica.slot())
                                .filter(r -> r.state() == ReservationState.UNLOADING)
                                .map(r -> current.without(replica.slot()))
                                .orElse(current))
                .replaceWithVoid();
    }

    /** The reservation to release, with its upstream and engine. */
    private record ReplicaToRelease(UpstreamId upstream, Reservation reservation, EngineClient engine) {

        SlotId slot() {
            return reservation.slot();
        }
    }

    /**
     * An unload in progress.
     *
     * @param incarnation the engine's incarnation before the unload order
     * @param sinceNanos a time after which no entry can move the slot's reservation to the state LOADING, on the
     *     monotonic clock
     * @param loadOrderExecuted whether the engine has already executed the slot's only load order
     */
    private record Unload(String incarnation, long sinceNanos, boolean loadOrderExecuted) {}
}
