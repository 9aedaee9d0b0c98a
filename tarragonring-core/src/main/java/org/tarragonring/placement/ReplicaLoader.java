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
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/**
 * Loads one replica: reserves memory in the upstream's record, adds a slot to the model's record, acquires a load
 * permit, moves the reservation to the state LOADING and only then sends the load order to the engine.
 *
 * <p>Memory is reserved before the slot is added, and the order is sent only after a conditional update that found
 * the reservation still in place. If the entry fails between two steps, the records let another entry complete the
 * load or undo it.
 *
 * @since 0.1.0
 */
public final class ReplicaLoader {

    private static final Duration STATUS_POLL_INTERVAL = Duration.ofMillis(50);
    private static final Duration PERMIT_RETRY_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_STALE_FENCE_RETRIES = 8;

    private final PlacementContext context;
    private final LoadPermits permits;
    private final Delays delays;
    private final StoreRetry storeRetry;

    /**
     * Creates a loader.
     *
     * @param context the dependencies of placement operations, not null
     * @param permits the permits that limit parallel loads from the weight store, not null
     */
    public ReplicaLoader(PlacementContext context, LoadPermits permits) {
        this.context = Objects.requireNonNull(context, "context");
        this.permits = Objects.requireNonNull(permits, "permits");
        this.delays = new Delays(context.timers());
        this.storeRetry = new StoreRetry(context.lease(), delays);
    }

    /**
     * Loads a replica.
     *
     * @param request the replica to load, not null
     * @return completes when the engine has reported the model as loaded and the reservation is marked as loaded;
     *     fails with {@link PlacementException} or {@link org.tarragonring.objects.StoreException}, in which case the
     *     slot must be released with {@link ReplicaReleaser}
     */
    public Uni<Void> load(ReplicaLoadRequest request) {
        return context.engines()
                .find(request.upstream())
                .map(engine -> storeRetry
                        .run(() -> reserve(request, engine))
                        .chain(() -> storeRetry.run(() -> addSlot(request)))
                        .chain(() -> acquirePermit(request))
                        .chain(() -> markLoadingAndSend(request, engine, MAX_STALE_FENCE_RETRIES))
                        .chain(() -> awaitLoaded(request, engine))
                        .chain(() -> storeRetry.run(() -> markLoaded(request)))
                        .onItemOrFailure()
                        .call(() -> releasePermit(request)))
                .orElseGet(() -> Uni.createFrom().failure(engineFailure(request, "is not listed as an engine")));
    }

    private Uni<Void> reserve(ReplicaLoadRequest request, EngineClient engine) {
        return engine.status()
                .onFailure()
                .transform(failure -> engineFailure(request, "did not respond to a status request before the load"))
                .chain(status -> context.records()
                        .update(
                                RecordType.UPSTREAM,
                                request.upstream().value(),
                                current -> withReservation(current, request, status)))
                .replaceWithVoid();
    }

    private UpstreamRecord withReservation(UpstreamRecord current, ReplicaLoadRequest request, EngineStatus status) {
        if (current.find(request.slot()).isPresent()) {
            return current;
        }
        context.requireLease(request.slot());
        requireNoUnrecordedResidents(current, request, status);
        UpstreamRecord updated = current.withAcceleratorBytes(status.acceleratorBytes());
        if (updated.freeBytes() < request.bytes()) {
            throw new PlacementException(
                    PlacementException.Reason.INSUFFICIENT_MEMORY,
                    "upstream \"%s\" has %d free bytes but model \"%s\" needs %d"
                            .formatted(request.upstream(), updated.freeBytes(), request.model(), request.bytes()));
        }
        UpstreamRecord next = updated.with(reservation(request, ReservationState.RESERVED), false);
        context.invariants().checkChange(updated, next);
        return next;
    }

    private void requireNoUnrecordedResidents(UpstreamRecord current, ReplicaLoadRequest request, EngineStatus status) {
        boolean hasUnrecorded = status.residents().stream()
                .anyMatch(resident -> current.find(resident.slot()).isEmpty());
        if (hasUnrecorded) {
            throw new PlacementException(
                    PlacementException.Reason.INSUFFICIENT_MEMORY,
                    "upstream \"%s\" reports a resident model without a reservation".formatted(request.upstream()));
        }
    }

    private Uni<Void> addSlot(ReplicaLoadRequest request) {
        return context.records()
                .update(RecordType.MODEL, request.model().value(), current -> withSlot(current, request))
                .replaceWithVoid();
    }

    private ModelRecord withSlot(ModelRecord current, ReplicaLoadRequest request) {
        if (current.find(request.slot()).isPresent()) {
            return current;
        }
        if (request.generation() < current.generation()) {
            throw new PlacementException(
                    PlacementException.Reason.SUPERSEDED,
                    "model \"%s\" was already decided under the newer configuration generation %d"
                            .formatted(request.model(), current.generation()));
        }
        ModelRecord decided = current.withDecidedReplicas(request.decidedReplicas(), request.generation());
        if (decided.slots().size() >= decided.decidedReplicas()) {
            throw new PlacementException(
                    PlacementException.Reason.REPLICA_LIMIT_REACHED,
                    "model \"%s\" already has %d slots, at most %d are allowed"
                            .formatted(request.model(), decided.slots().size(), decided.decidedReplicas()));
        }
        ModelRecord next = decided.with(new Slot(request.slot(), request.upstream(), request.version()));
        context.invariants().checkChange(current, next);
        return next;
    }

    private Uni<Void> acquirePermit(ReplicaLoadRequest request) {
        return delays.pollUntilPresent(
                        PERMIT_RETRY_INTERVAL,
                        () -> storeRetry
                                .run(() -> permits.acquire(request.slot().value(), 1))
                                .map(acquired -> {
                                    context.requireLease(request.slot());
                                    return acquired ? Optional.of(true) : Optional.<Boolean>empty();
                                }))
                .replaceWithVoid();
    }

    /** Releases the permit after success and failure; a permit whose release fails expires. */
    private Uni<Void> releasePermit(ReplicaLoadRequest request) {
        return permits.release(request.slot().value()).onFailure().recoverWithNull();
    }

    /**
     * Moves the reservation to the state LOADING and sends the load order. The order is not sent if the update took a
     * whole lease duration or longer, because the order could then arrive after another entry has stopped waiting for
     * late orders.
     */
    private Uni<Void> markLoadingAndSend(ReplicaLoadRequest request, EngineClient engine, int retriesLeft) {
        long updateStartedNanos = context.clock().nanos();
        return storeRetry
                .run(() -> context.records()
                        .update(
                                RecordType.UPSTREAM,
                                request.upstream().value(),
                                current -> withLoadingState(current, request)))
                .chain(updated -> {
                    long elapsedNanos = context.clock().nanos() - updateStartedNanos;
                    if (elapsedNanos >= context.lease().timing().duration().toNanos()) {
                        throw superseded(request);
                    }
                    return sendLoadOrder(request, engine, updated.body().fence(), retriesLeft);
                });
    }

    private UpstreamRecord withLoadingState(UpstreamRecord current, ReplicaLoadRequest request) {
        context.requireLease(request.slot());
        Reservation own = requireOwnReservation(current, request);
        if (own.state() != ReservationState.RESERVED && own.state() != ReservationState.LOADING) {
            throw superseded(request);
        }
        UpstreamRecord next = current.with(reservation(request, ReservationState.LOADING), true);
        context.invariants().checkChange(current, next);
        return next;
    }

    private Uni<Void> sendLoadOrder(ReplicaLoadRequest request, EngineClient engine, long fence, int retriesLeft) {
        context.requireLease(request.slot());
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LOAD, request.slot(), request.model(), request.version(), request.bytes(), fence);
        LogEvent.LOAD_ORDERED.log(request.model(), request.upstream(), request.slot(), fence);
        return engine.order(order)
                .onFailure()
                .recoverWithItem(OrderOutcome.ACCEPTED)
                .chain(outcome -> onOrderOutcome(request, engine, outcome, retriesLeft));
    }

    private Uni<Void> onOrderOutcome(
            ReplicaLoadRequest request, EngineClient engine, OrderOutcome outcome, int retriesLeft) {
        if (outcome == OrderOutcome.ACCEPTED) {
            return Uni.createFrom().voidItem();
        }
        if (outcome == OrderOutcome.STALE_FENCE && retriesLeft > 0) {
            return markLoadingAndSend(request, engine, retriesLeft - 1);
        }
        return Uni.createFrom().failure(engineFailure(request, "rejected the load order: " + outcome));
    }

    private Uni<Void> awaitLoaded(ReplicaLoadRequest request, EngineClient engine) {
        AtomicReference<String> previousIncarnation = new AtomicReference<>();
        return delays.pollUntilPresent(
                        STATUS_POLL_INTERVAL,
                        () -> engine.status()
                                .onFailure()
                                .transform(failure ->
                                        engineFailure(request, "did not respond to a status request during the load"))
                                .map(status -> {
                                    requireStillResident(
                                            request, status, previousIncarnation.getAndSet(status.incarnation()));
                                    boolean loaded = status.find(request.slot())
                                            .orElseThrow()
                                            .loaded();
                                    return loaded ? Optional.of(true) : Optional.<Boolean>empty();
                                }))
                .replaceWithVoid();
    }

    private void requireStillResident(ReplicaLoadRequest request, EngineStatus status, String previousIncarnation) {
        boolean restarted = previousIncarnation != null && !previousIncarnation.equals(status.incarnation());
        if (restarted || status.find(request.slot()).isEmpty()) {
            throw engineFailure(request, "restarted during the load or does not report the model");
        }
    }

    private Uni<Void> markLoaded(ReplicaLoadRequest request) {
        return context.records()
                .update(RecordType.UPSTREAM, request.upstream().value(), current -> {
                    Reservation own = requireOwnReservation(current, request);
                    if (own.state() == ReservationState.LOADED) {
                        return current;
                    }
                    return current.with(reservation(request, ReservationState.LOADED), false);
                })
                .replaceWithVoid();
    }

    private Reservation requireOwnReservation(UpstreamRecord record, ReplicaLoadRequest request) {
        return record.find(request.slot())
                .filter(r -> r.isHeldBy(context.lease().entry(), context.lease().epoch()))
                .filter(r -> r.state() != ReservationState.UNLOADING)
                .orElseThrow(() -> superseded(request));
    }

    private Reservation reservation(ReplicaLoadRequest request, ReservationState state) {
        return new Reservation(
                request.slot(),
                request.model(),
                request.version(),
                request.bytes(),
                state,
                context.lease().entry(),
                context.lease().epoch());
    }

    private static PlacementException superseded(ReplicaLoadRequest request) {
        SlotId slot = request.slot();
        return new PlacementException(
                PlacementException.Reason.SUPERSEDED,
                "slot \"%s\" of model \"%s\" is no longer held by this entry".formatted(slot, request.model()));
    }

    private static PlacementException engineFailure(ReplicaLoadRequest request, String detail) {
        return new PlacementException(
                PlacementException.Reason.ENGINE_FAILURE, "upstream \"%s\" %s".formatted(request.upstream(), detail));
    }
}
