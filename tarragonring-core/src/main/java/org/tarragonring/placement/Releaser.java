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
import org.tarragonring.upstream.Engine;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/**
 * Frees one placement: unloads it, sees the engine without it, and only then frees slot and memory.
 *
 * <p>A load order of an earlier holder may still be on its way. An engine that honours fencing numbers refuses it
 * once it has taken the unload order. For any other engine, and for one that restarted meanwhile, the releaser
 * waits until such an order can no longer arrive and reads the engine again before the memory is freed.
 *
 * @since 0.1.0
 */
public final class Releaser {

    private static final Duration POLL_PERIOD = Duration.ofMillis(100);

    private final PlacementContext context;
    private final Delays delays;
    private final StoreRetry retry;

    /**
     * Creates a releaser.
     *
     * @param context what placement works with, not null
     */
    public Releaser(PlacementContext context) {
        this.context = Objects.requireNonNull(context, "context");
        this.delays = new Delays(context.timers());
        this.retry = new StoreRetry(context.lease(), delays);
    }

    /**
     * Frees a placement. Does nothing if the upstream's record does not name the slot.
     *
     * @param upstream the upstream, not null
     * @param slot the slot, not null
     * @return completes when slot and memory are free; fails if the lease ended or the engine cannot be reached,
     *     and may then be called again by any entry
     */
    public Uni<Void> release(UpstreamId upstream, SlotId slot) {
        return context.records().read(RecordType.UPSTREAM, upstream.value()).chain(found -> {
            Optional<Reservation> reservation = found.body().find(slot);
            if (reservation.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            return reservation.get().state() == ReservationState.RESERVED
                    ? releaseUnordered(upstream, reservation.get())
                    : releaseOrdered(upstream, reservation.get());
        });
    }

    private Uni<Void> releaseUnordered(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        upstream.value(),
                        old -> old.find(reservation.slot())
                                .filter(r -> r.state() == ReservationState.RESERVED)
                                .map(r -> old.without(reservation.slot()))
                                .orElse(old))
                .chain(now -> now.body().find(reservation.slot()).isPresent()
                        ? release(upstream, reservation.slot())
                        : freeSlot(reservation));
    }

    private Uni<Void> releaseOrdered(UpstreamId upstream, Reservation reservation) {
        Optional<Engine> engine = context.engines().find(upstream);
        if (engine.isEmpty()) {
            return Uni.createFrom()
                    .failure(new PlacementException(
                            PlacementException.Reason.ENGINE, "upstream \"%s\" is not listed".formatted(upstream)));
        }
        Target target = new Target(upstream, reservation, engine.get());
        boolean loadOrderWasTaken = reservation.state() == ReservationState.LOADED;
        return retry.run(() -> startUnload(target))
                .chain(fence -> engine.get().status().chain(before -> {
                    Unload unload =
                            new Unload(before.incarnation(), context.clock().nanos(), loadOrderWasTaken);
                    return order(target, fence).chain(() -> awaitAbsent(target, unload));
                }))
                .chain(() -> retry.run(() -> freeSlot(reservation)))
                .chain(() -> retry.run(() -> freeMemory(target)));
    }

    private Uni<Long> startUnload(Target target) {
        return context.records()
                .update(RecordType.UPSTREAM, target.upstream.value(), old -> unloading(old, target))
                .map(now -> now.body().fence());
    }

    private UpstreamRecord unloading(UpstreamRecord old, Target target) {
        context.requireLease(target.slot());
        Optional<Reservation> current = old.find(target.slot());
        if (current.isEmpty()) {
            return old;
        }
        Reservation unloading = current.get()
                .moved(
                        ReservationState.UNLOADING,
                        context.lease().entry(),
                        context.lease().epoch());
        UpstreamRecord next = old.with(unloading, true);
        context.invariants().checkChange(old, next);
        return next;
    }

    private Uni<Void> order(Target target, long fence) {
        context.requireLease(target.slot());
        Reservation reservation = target.reservation;
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.UNLOAD,
                reservation.slot(),
                reservation.model(),
                reservation.version(),
                reservation.bytes(),
                fence);
        LogEvent.UNLOAD_ORDERED.log(reservation.model(), target.upstream, reservation.slot(), fence);
        return target.engine
                .order(order)
                .chain(outcome -> outcome == OrderOutcome.STALE_FENCE
                        ? startUnload(target).chain(raised -> order(target, raised))
                        : Uni.createFrom().voidItem());
    }

    private Uni<Void> awaitAbsent(Target target, Unload unload) {
        return delays.until(
                        POLL_PERIOD, () -> target.engine.status().chain(status -> checkAbsent(target, unload, status)))
                .replaceWithVoid();
    }

    /** Orders the unload again while the engine shows the slot, as a late load order may bring it about. */
    private Uni<Optional<Boolean>> checkAbsent(Target target, Unload unload, EngineStatus status) {
        context.requireLease(target.slot());
        if (status.find(target.slot()).isPresent()) {
            return startUnload(target).chain(fence -> order(target, fence)).replaceWith(Optional.<Boolean>empty());
        }
        boolean done = noLoadCanArrive(status, unload);
        return Uni.createFrom().item(done ? Optional.of(true) : Optional.<Boolean>empty());
    }

    private boolean noLoadCanArrive(EngineStatus status, Unload unload) {
        boolean fenced = status.honoursFence() && status.incarnation().equals(unload.incarnation);
        if (unload.loadOrderWasTaken || fenced) {
            return true;
        }
        long waitedNanos = context.clock().nanos() - unload.sinceNanos;
        return waitedNanos >= context.lease().timing().longestLateOrder().toNanos();
    }

    private Uni<Void> freeSlot(Reservation reservation) {
        return context.records()
                .update(RecordType.MODEL, reservation.model().value(), old -> old.without(reservation.slot()))
                .replaceWithVoid();
    }

    private Uni<Void> freeMemory(Target target) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        target.upstream.value(),
                        old -> old.find(target.slot())
                                .filter(r -> r.state() == ReservationState.UNLOADING)
                                .map(r -> old.without(target.slot()))
                                .orElse(old))
                .replaceWithVoid();
    }

    /** What is freed and where. */
    private record Target(UpstreamId upstream, Reservation reservation, Engine engine) {

        SlotId slot() {
            return reservation.slot();
        }
    }

    /**
     * An unload in progress.
     *
     * @param incarnation the engine's incarnation before the unload order
     * @param sinceNanos a moment after which no entry can arm a load of the slot
     * @param loadOrderWasTaken whether the engine has taken the slot's only load order already
     */
    private record Unload(String incarnation, long sinceNanos, boolean loadOrderWasTaken) {}
}
