package org.tarragonring.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.SlotId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Reservation;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.objects.Slot;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.time.Delays;
import org.tarragonring.upstream.Engine;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/**
 * Loads one replica: reserves memory, takes the model's slot, takes a permit, arms the reservation and only then
 * sends the order.
 *
 * <p>Memory is reserved before the slot is taken, and the order follows only a conditional update that finds the
 * reservation still in place. An entry that dies between two steps leaves records from which another entry can
 * undo or finish the load.
 *
 * @since 0.1.0
 */
public final class Loader {

    private static final Duration POLL_PERIOD = Duration.ofMillis(50);
    private static final Duration PERMIT_RETRY_PERIOD = Duration.ofMillis(100);
    private static final int MAX_STALE_FENCES = 8;

    private final PlacementContext context;
    private final LoadPermits permits;
    private final Delays delays;
    private final StoreRetry retry;

    /**
     * Creates a loader.
     *
     * @param context what placement works with, not null
     * @param permits the weight store's permits, not null
     */
    public Loader(PlacementContext context, LoadPermits permits) {
        this.context = Objects.requireNonNull(context, "context");
        this.permits = Objects.requireNonNull(permits, "permits");
        this.delays = new Delays(context.timers());
        this.retry = new StoreRetry(context.lease(), delays);
    }

    /**
     * Loads a replica.
     *
     * @param request the decision, not null
     * @return completes when the engine reported the model as loaded and the record says so; fails with
     *     {@link PlacementException} or {@link org.tarragonring.objects.StoreException}, in which case
     *     {@link Releaser} must undo the slot
     */
    public Uni<Void> load(LoadRequest request) {
        return context.engines()
                .find(request.upstream())
                .map(engine -> retry.run(() -> reserve(request, engine))
                        .chain(() -> retry.run(() -> takeSlot(request)))
                        .chain(() -> takePermit(request))
                        .chain(() -> armAndSend(request, engine, MAX_STALE_FENCES))
                        .chain(() -> awaitLoaded(request, engine))
                        .chain(() -> retry.run(() -> confirm(request)))
                        .onItemOrFailure()
                        .call(() -> givePermitBack(request)))
                .orElseGet(() -> Uni.createFrom().failure(engineFailure(request, "is not listed")));
    }

    private Uni<Void> reserve(LoadRequest request, Engine engine) {
        return engine.status()
                .onFailure()
                .transform(failure -> engineFailure(request, "does not answer"))
                .chain(status -> context.records()
                        .update(RecordType.UPSTREAM, request.upstream().value(), old -> reserved(old, request, status)))
                .replaceWithVoid();
    }

    private UpstreamRecord reserved(UpstreamRecord old, LoadRequest request, EngineStatus status) {
        if (old.find(request.slot()).isPresent()) {
            return old;
        }
        context.requireLease(request.slot());
        requireNoUnknownResidents(old, request, status);
        UpstreamRecord sized = old.withAcceleratorBytes(status.acceleratorBytes());
        if (sized.freeBytes() < request.bytes()) {
            throw new PlacementException(
                    PlacementException.Reason.NO_ROOM,
                    "upstream \"%s\" has %d bytes free, model \"%s\" needs %d"
                            .formatted(request.upstream(), sized.freeBytes(), request.model(), request.bytes()));
        }
        UpstreamRecord next = sized.with(reservation(request, ReservationState.RESERVED), false);
        context.invariants().checkChange(sized, next);
        return next;
    }

    private void requireNoUnknownResidents(UpstreamRecord old, LoadRequest request, EngineStatus status) {
        boolean unknown = status.residents().stream()
                .anyMatch(resident -> old.find(resident.slot()).isEmpty());
        if (unknown) {
            throw new PlacementException(
                    PlacementException.Reason.NO_ROOM,
                    "upstream \"%s\" holds a resident that no record names".formatted(request.upstream()));
        }
    }

    private Uni<Void> takeSlot(LoadRequest request) {
        return context.records()
                .update(RecordType.MODEL, request.model().value(), old -> withSlot(old, request))
                .replaceWithVoid();
    }

    private ModelRecord withSlot(ModelRecord old, LoadRequest request) {
        if (old.find(request.slot()).isPresent()) {
            return old;
        }
        if (request.generation() < old.generation()) {
            throw new PlacementException(
                    PlacementException.Reason.LOST,
                    "model \"%s\" was decided under generation %d already"
                            .formatted(request.model(), old.generation()));
        }
        ModelRecord decided = old.decided(request.decidedReplicas(), request.generation());
        if (decided.slots().size() >= decided.decidedReplicas()) {
            throw new PlacementException(
                    PlacementException.Reason.ENOUGH_REPLICAS,
                    "model \"%s\" has %d slots of %d decided"
                            .formatted(request.model(), decided.slots().size(), decided.decidedReplicas()));
        }
        ModelRecord next = decided.with(new Slot(request.slot(), request.upstream(), request.version()));
        context.invariants().checkChange(old, next);
        return next;
    }

    private Uni<Void> takePermit(LoadRequest request) {
        return delays.until(
                        PERMIT_RETRY_PERIOD,
                        () -> retry.run(() -> permits.acquire(request.slot().value(), 1))
                                .map(taken -> {
                                    context.requireLease(request.slot());
                                    return taken ? Optional.of(true) : Optional.<Boolean>empty();
                                }))
                .replaceWithVoid();
    }

    /** Gives the permit back whether or not the load succeeded; a lost one lapses by itself. */
    private Uni<Void> givePermitBack(LoadRequest request) {
        return permits.release(request.slot().value()).onFailure().recoverWithNull();
    }

    /**
     * Arms the reservation and sends the order, but not if the time since before the arming would let the order
     * arrive after another entry has stopped waiting for it.
     */
    private Uni<Void> armAndSend(LoadRequest request, Engine engine, int attemptsLeft) {
        long armingNanos = context.clock().nanos();
        return retry.run(() -> context.records()
                        .update(RecordType.UPSTREAM, request.upstream().value(), old -> armed(old, request)))
                .chain(now -> {
                    long elapsedNanos = context.clock().nanos() - armingNanos;
                    if (elapsedNanos >= context.lease().timing().duration().toNanos()) {
                        throw lost(request);
                    }
                    return send(request, engine, now.body().fence(), attemptsLeft);
                });
    }

    private UpstreamRecord armed(UpstreamRecord old, LoadRequest request) {
        context.requireLease(request.slot());
        Reservation mine = requireHeld(old, request);
        if (mine.state() != ReservationState.RESERVED && mine.state() != ReservationState.LOADING) {
            throw lost(request);
        }
        UpstreamRecord next = old.with(reservation(request, ReservationState.LOADING), true);
        context.invariants().checkChange(old, next);
        return next;
    }

    private Uni<Void> send(LoadRequest request, Engine engine, long fence, int attemptsLeft) {
        context.requireLease(request.slot());
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LOAD, request.slot(), request.model(), request.version(), request.bytes(), fence);
        LogEvent.LOAD_ORDERED.log(request.model(), request.upstream(), request.slot(), fence);
        return engine.order(order)
                .onFailure()
                .recoverWithItem(OrderOutcome.ACCEPTED)
                .chain(outcome -> afterOrder(request, engine, outcome, attemptsLeft));
    }

    private Uni<Void> afterOrder(LoadRequest request, Engine engine, OrderOutcome outcome, int attemptsLeft) {
        if (outcome == OrderOutcome.ACCEPTED) {
            return Uni.createFrom().voidItem();
        }
        if (outcome == OrderOutcome.STALE_FENCE && attemptsLeft > 0) {
            return armAndSend(request, engine, attemptsLeft - 1);
        }
        return Uni.createFrom().failure(engineFailure(request, "refused the load: " + outcome));
    }

    private Uni<Void> awaitLoaded(LoadRequest request, Engine engine) {
        AtomicReference<String> incarnation = new AtomicReference<>();
        return delays.until(
                        POLL_PERIOD,
                        () -> engine.status()
                                .onFailure()
                                .transform(failure -> engineFailure(request, "stopped answering during the load"))
                                .map(status -> {
                                    requirePresent(request, status, incarnation.getAndSet(status.incarnation()));
                                    boolean loaded = status.find(request.slot())
                                            .orElseThrow()
                                            .loaded();
                                    return loaded ? Optional.of(true) : Optional.<Boolean>empty();
                                }))
                .replaceWithVoid();
    }

    private void requirePresent(LoadRequest request, EngineStatus status, String incarnation) {
        boolean restarted = incarnation != null && !incarnation.equals(status.incarnation());
        if (restarted || status.find(request.slot()).isEmpty()) {
            throw engineFailure(request, "lost the load");
        }
    }

    private Uni<Void> confirm(LoadRequest request) {
        return context.records()
                .update(RecordType.UPSTREAM, request.upstream().value(), old -> {
                    Reservation mine = requireHeld(old, request);
                    if (mine.state() == ReservationState.LOADED) {
                        return old;
                    }
                    return old.with(reservation(request, ReservationState.LOADED), false);
                })
                .replaceWithVoid();
    }

    private Reservation requireHeld(UpstreamRecord record, LoadRequest request) {
        return record.find(request.slot())
                .filter(r -> r.heldBy(context.lease().entry(), context.lease().epoch()))
                .filter(r -> r.state() != ReservationState.UNLOADING)
                .orElseThrow(() -> lost(request));
    }

    private Reservation reservation(LoadRequest request, ReservationState state) {
        return new Reservation(
                request.slot(),
                request.model(),
                request.version(),
                request.bytes(),
                state,
                context.lease().entry(),
                context.lease().epoch());
    }

    private static PlacementException lost(LoadRequest request) {
        SlotId slot = request.slot();
        return new PlacementException(
                PlacementException.Reason.LOST,
                "slot \"%s\" of model \"%s\" was taken over".formatted(slot, request.model()));
    }

    private static PlacementException engineFailure(LoadRequest request, String what) {
        return new PlacementException(
                PlacementException.Reason.ENGINE, "upstream \"%s\" %s".formatted(request.upstream(), what));
    }
}
