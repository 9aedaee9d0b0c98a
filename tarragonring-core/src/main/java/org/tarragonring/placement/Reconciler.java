package org.tarragonring.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Reservation;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.objects.Slot;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineStatus;

/**
 * Completes or rolls back loads and unloads that failed entries did not finish on an upstream, using only the records
 * and the engine's status.
 *
 * <p>Any entry may reconcile any upstream at any time, and several entries may do so concurrently, because every step
 * is a conditional update. Normally the entry that owns the upstream reconciles it.
 *
 * @since 0.1.0
 */
public final class Reconciler {

    private final PlacementContext context;
    private final ReplicaReleaser releaser;
    private final Set<SlotId> activeSlots;
    private final Consumer<ModelName> loadedModelListener;
    private final Consumer<UpstreamId> leavingListener;
    private final ConsistentUpstreamCache consistentUpstreams;
    private final Set<UpstreamId> unfinishedUpstreams = ConcurrentHashMap.newKeySet();

    /**
     * Creates a reconciler.
     *
     * @param context the dependencies of placement operations, not null
     * @param releaser releases replicas, not null
     * @param activeSlots the slots that this entry is currently loading or releasing; the reconciler skips them and
     *     adds the slots that it releases itself; a concurrent set, not null
     * @param loadedModelListener receives the name of each model that is found loaded, not null
     * @param leavingListener receives the id of each upstream whose engine reports that it is about to shut down;
     *     not null
     */
    public Reconciler(
            PlacementContext context,
            ReplicaReleaser releaser,
            Set<SlotId> activeSlots,
            Consumer<ModelName> loadedModelListener,
            Consumer<UpstreamId> leavingListener) {
        this.context = Objects.requireNonNull(context, "context");
        this.releaser = Objects.requireNonNull(releaser, "releaser");
        this.activeSlots = Objects.requireNonNull(activeSlots, "activeSlots");
        this.loadedModelListener = Objects.requireNonNull(loadedModelListener, "loadedModelListener");
        this.leavingListener = Objects.requireNonNull(leavingListener, "leavingListener");
        this.consistentUpstreams = new ConsistentUpstreamCache(context.clock());
    }

    /**
     * Creates a set for the slots that an entry is currently loading or releasing.
     *
     * @return an empty concurrent set
     */
    public static Set<SlotId> newActiveSlotSet() {
        return ConcurrentHashMap.newKeySet();
    }

    /**
     * Reconciles one upstream, unless its record and its engine recently agreed and the engine's status has not
     * changed since.
     *
     * @param upstream the upstream, not null
     * @return completes when the records were compared and updated; releases that were started continue in the
     *     background, and reservations whose holder may still be active are left to a later run
     */
    public Uni<Void> reconcile(UpstreamId upstream) {
        return reconcile(upstream, true);
    }

    /**
     * Reconciles one upstream even if its record and its engine recently agreed.
     *
     * @param upstream the upstream, not null
     * @return completes as {@link #reconcile(UpstreamId)} does
     */
    public Uni<Void> reconcileUncached(UpstreamId upstream) {
        return reconcile(upstream, false);
    }

    /**
     * Marks an upstream on which this entry could not finish an operation, for example because it could not roll back
     * a failed load while the platform was unavailable.
     *
     * @param upstream the upstream, not null
     */
    public void markUnfinished(UpstreamId upstream) {
        unfinishedUpstreams.add(upstream);
    }

    /**
     * Returns the upstreams marked by {@link #markUnfinished} and clears their marks.
     *
     * @return the upstreams, which this entry must reconcile even if another entry owns them
     */
    public List<UpstreamId> drainUnfinished() {
        List<UpstreamId> drained = List.copyOf(unfinishedUpstreams);
        unfinishedUpstreams.removeAll(drained);
        return drained;
    }

    private Uni<Void> reconcile(UpstreamId upstream, boolean useCache) {
        if (!context.lease().isValid()) {
            return Uni.createFrom().voidItem();
        }
        Optional<EngineClient> engine = context.engines().find(upstream);
        if (engine.isEmpty()) {
            return context.engines().isRemoved(upstream)
                    ? removeReservations(upstream)
                    : Uni.createFrom().voidItem();
        }
        return engine.get().status().chain(status -> {
            if (status.leaving()) {
                leavingListener.accept(upstream);
            }
            if (useCache && consistentUpstreams.isStillConsistent(upstream, status)) {
                return Uni.createFrom().voidItem();
            }
            return readAndReconcile(upstream, engine.get(), status);
        });
    }

    private Uni<Void> readAndReconcile(UpstreamId upstream, EngineClient engine, EngineStatus status) {
        return context.records()
                .read(RecordType.UPSTREAM, upstream.value())
                .chain(latest -> reconcileRecord(upstream, latest.body(), status)
                        .chain(() -> hasUnrecordedResident(latest.body(), status)
                                ? quarantineUnrecorded(upstream, engine)
                                : Uni.createFrom().voidItem())
                        .invoke(() -> consistentUpstreams.update(upstream, latest.body(), status)));
    }

    private static boolean hasUnrecordedResident(UpstreamRecord record, EngineStatus status) {
        return status.residents().stream().anyMatch(r -> record.find(r.slot()).isEmpty());
    }

    private Uni<Void> reconcileRecord(UpstreamId upstream, UpstreamRecord record, EngineStatus status) {
        List<Uni<Void>> steps = new ArrayList<>();
        for (Reservation reservation : record.reservations()) {
            if (!activeSlots.contains(reservation.slot())) {
                steps.add(reconcileReservation(upstream, reservation, status));
            }
        }
        return joinAll(steps);
    }

    private Uni<Void> reconcileReservation(UpstreamId upstream, Reservation reservation, EngineStatus status) {
        if (reservation.state() == ReservationState.LOADED) {
            return reconcileLoaded(upstream, reservation, status);
        }
        if (reservation.state() == ReservationState.QUARANTINED) {
            return release(upstream, reservation);
        }
        Optional<EngineStatus.Resident> resident = status.find(reservation.slot());
        if (reservation.state() == ReservationState.LOADING && resident.isPresent()) {
            return resident.get().loaded()
                    ? completeLoad(upstream, reservation)
                    : Uni.createFrom().voidItem();
        }
        return isAbandoned(reservation, status)
                .chain(abandoned -> abandoned
                        ? releaseAbandoned(upstream, reservation)
                        : Uni.createFrom().voidItem());
    }

    /**
     * Checks whether no entry is processing a reservation any more. If a conditional update or the engine's fencing
     * check stops a holder that is still running after all, it is sufficient that the holder is unreachable. Otherwise
     * the holder's lease must have ended.
     */
    private Uni<Boolean> isAbandoned(Reservation reservation, EngineStatus status) {
        if (reservation.isHeldBy(context.lease().entry(), context.lease().epoch())) {
            return Uni.createFrom().item(true);
        }
        boolean holderIsExcluded = reservation.state() == ReservationState.RESERVED || status.honoursFence();
        if (holderIsExcluded && !context.isMember().test(reservation.holder())) {
            return Uni.createFrom().item(true);
        }
        return context.observer().hasEnded(reservation.holder(), reservation.holderEpoch());
    }

    private Uni<Void> reconcileLoaded(UpstreamId upstream, Reservation reservation, EngineStatus status) {
        if (status.find(reservation.slot()).isEmpty()) {
            LogEvent.LOADED_MODEL_MISSING.log(upstream, reservation.slot(), reservation.model());
            return release(upstream, reservation);
        }
        loadedModelListener.accept(reservation.model());
        return context.records()
                .read(RecordType.MODEL, reservation.model().value())
                .chain(model -> model.body().find(reservation.slot()).isEmpty()
                        ? release(upstream, reservation)
                        : Uni.createFrom().voidItem());
    }

    private Uni<Void> releaseAbandoned(UpstreamId upstream, Reservation reservation) {
        LogEvent.RESERVATION_TAKEN_OVER.log(reservation.slot(), upstream, reservation.holder(), reservation.state());
        return release(upstream, reservation);
    }

    /** Marks a reservation as loaded after the engine completed the load, regardless of which entry ordered it. */
    private Uni<Void> completeLoad(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        upstream.value(),
                        current -> current.find(reservation.slot())
                                .filter(r -> r.equals(reservation))
                                .map(r -> current.with(
                                        r.withState(
                                                ReservationState.LOADED,
                                                context.lease().entry(),
                                                context.lease().epoch()),
                                        false))
                                .orElse(current))
                .replaceWithVoid();
    }

    private Uni<Void> release(UpstreamId upstream, Reservation reservation) {
        if (!activeSlots.add(reservation.slot())) {
            return Uni.createFrom().voidItem();
        }
        releaser.release(upstream, reservation.slot())
                .onTermination()
                .invoke(() -> activeSlots.remove(reservation.slot()))
                .subscribe()
                .with(done -> LogEvent.UNLOADED.log(reservation.model(), upstream, "reconciled"), failure -> {
                    markUnfinished(upstream);
                    LogEvent.UNLOAD_FAILED.log(reservation.slot(), upstream, failure.getMessage());
                });
        return Uni.createFrom().voidItem();
    }

    /**
     * Adds quarantined reservations for resident models without a reservation, so that their memory is counted. The
     * engine's status is requested again before the record is read, so that a slot released in the meantime is not
     * quarantined.
     */
    private Uni<Void> quarantineUnrecorded(UpstreamId upstream, EngineClient engine) {
        return engine.status().chain(status -> {
            if (status.residents().isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            return context.records()
                    .update(
                            RecordType.UPSTREAM,
                            upstream.value(),
                            current -> withQuarantined(upstream, current, status))
                    .replaceWithVoid();
        });
    }

    private UpstreamRecord withQuarantined(UpstreamId upstream, UpstreamRecord current, EngineStatus status) {
        UpstreamRecord next = current;
        for (EngineStatus.Resident resident : status.residents()) {
            if (next.find(resident.slot()).isEmpty()) {
                LogEvent.UNRECORDED_MODEL.log(upstream, resident.slot(), resident.model());
                next = next.with(
                        new Reservation(
                                resident.slot(),
                                resident.model(),
                                resident.version(),
                                resident.bytes(),
                                ReservationState.QUARANTINED,
                                context.lease().entry(),
                                context.lease().epoch()),
                        false);
            }
        }
        return next;
    }

    /**
     * Removes all reservations of an upstream that left the instance list, because its accelerator was removed with it.
     */
    private Uni<Void> removeReservations(UpstreamId upstream) {
        return context.records().read(RecordType.UPSTREAM, upstream.value()).chain(upstreamRecord -> {
            List<Reservation> reservations = upstreamRecord.body().reservations();
            if (reservations.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            LogEvent.UPSTREAM_REMOVED.log(upstream, reservations.size());
            List<Uni<Void>> steps = reservations.stream()
                    .map(reservation -> removeReservation(upstream, reservation))
                    .toList();
            return joinAll(steps);
        });
    }

    private Uni<Void> removeReservation(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(RecordType.MODEL, reservation.model().value(), current -> current.without(reservation.slot()))
                .chain(() -> context.records()
                        .update(RecordType.UPSTREAM, upstream.value(), current -> current.without(reservation.slot())))
                .replaceWithVoid();
    }

    /**
     * Removes those slots of a model that have no reservation. Such slots remain if an entry crashes after it removed a
     * reservation and before it removed the slot.
     *
     * @param model the model's name, not null
     * @param slots the slots from an earlier read of the model's record, not null
     * @return completes when the slots without a reservation are removed
     */
    public Uni<Void> removeOrphanedSlots(String model, List<Slot> slots) {
        List<Uni<Void>> steps = slots.stream()
                .filter(slot -> !activeSlots.contains(slot.id()))
                .map(slot -> removeIfOrphaned(model, slot))
                .toList();
        return joinAll(steps);
    }

    private Uni<Void> removeIfOrphaned(String model, Slot slot) {
        return context.records()
                .read(RecordType.UPSTREAM, slot.upstream().value())
                .chain(upstreamRecord -> {
                    if (upstreamRecord.body().find(slot.id()).isPresent()) {
                        return Uni.createFrom().voidItem();
                    }
                    return context.records()
                            .update(RecordType.MODEL, model, current -> current.without(slot.id()))
                            .replaceWithVoid();
                });
    }

    private static Uni<Void> joinAll(List<Uni<Void>> steps) {
        if (steps.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        return Uni.join().all(steps).andCollectFailures().replaceWithVoid();
    }
}
