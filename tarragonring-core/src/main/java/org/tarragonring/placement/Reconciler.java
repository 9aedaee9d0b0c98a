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
import org.tarragonring.upstream.Engine;
import org.tarragonring.upstream.EngineStatus;

/**
 * Finishes or undoes what dead entries left on an upstream, from the records and the engine's report alone.
 *
 * <p>Any entry may reconcile any upstream at any time, several at once included: every step is a conditional
 * update. Usually the upstream's owner does.
 *
 * @since 0.1.0
 */
public final class Reconciler {

    private final PlacementContext context;
    private final Releaser releaser;
    private final Set<SlotId> active;
    private final Consumer<ModelName> residents;
    private final Consumer<UpstreamId> leaving;
    private final SettledUpstreams settled;
    private final Set<UpstreamId> unfinished = ConcurrentHashMap.newKeySet();

    /**
     * Creates a reconciler.
     *
     * @param context what placement works with, not null
     * @param releaser frees placements, not null
     * @param active the slots that this entry is loading or freeing now; the reconciler leaves them alone and adds
     *     those it frees; a concurrent set, not null
     * @param residents is told of each model that is found loaded, not null
     * @param leaving is told of each upstream that reports that it is leaving, not null
     */
    public Reconciler(
            PlacementContext context,
            Releaser releaser,
            Set<SlotId> active,
            Consumer<ModelName> residents,
            Consumer<UpstreamId> leaving) {
        this.context = Objects.requireNonNull(context, "context");
        this.releaser = Objects.requireNonNull(releaser, "releaser");
        this.active = Objects.requireNonNull(active, "active");
        this.residents = Objects.requireNonNull(residents, "residents");
        this.leaving = Objects.requireNonNull(leaving, "leaving");
        this.settled = new SettledUpstreams(context.clock());
    }

    /**
     * Creates a set of active slots.
     *
     * @return an empty concurrent set
     */
    public static Set<SlotId> noActiveSlots() {
        return ConcurrentHashMap.newKeySet();
    }

    /**
     * Reconciles one upstream, unless it was settled a short while ago and its engine reports nothing new.
     *
     * @param upstream the upstream, not null
     * @return completes when everything that could be settled now is settled; what needs time is settled in a
     *     later run
     */
    public Uni<Void> reconcile(UpstreamId upstream) {
        return reconcile(upstream, true);
    }

    /**
     * Reconciles one upstream, whatever was found a while ago.
     *
     * @param upstream the upstream, not null
     * @return completes as {@link #reconcile} does
     */
    public Uni<Void> reconcileNow(UpstreamId upstream) {
        return reconcile(upstream, false);
    }

    /**
     * Notes that this entry left something undone on an upstream, such as a load that could not be undone while the
     * platform was away.
     *
     * @param upstream the upstream, not null
     */
    public void leaveUnfinished(UpstreamId upstream) {
        unfinished.add(upstream);
    }

    /**
     * Takes the upstreams on which this entry left something undone.
     *
     * @return the upstreams; they are to be reconciled by this entry whoever owns them
     */
    public List<UpstreamId> takeUnfinished() {
        List<UpstreamId> taken = List.copyOf(unfinished);
        unfinished.removeAll(taken);
        return taken;
    }

    private Uni<Void> reconcile(UpstreamId upstream, boolean trustsEarlier) {
        if (!context.lease().isValid()) {
            return Uni.createFrom().voidItem();
        }
        Optional<Engine> engine = context.engines().find(upstream);
        if (engine.isEmpty()) {
            return context.engines().isGone(upstream)
                    ? forget(upstream)
                    : Uni.createFrom().voidItem();
        }
        return engine.get().status().chain(status -> {
            if (status.leaving()) {
                leaving.accept(upstream);
            }
            if (trustsEarlier && settled.isStillSettled(upstream, status)) {
                return Uni.createFrom().voidItem();
            }
            return settle(upstream, engine.get(), status);
        });
    }

    private Uni<Void> settle(UpstreamId upstream, Engine engine, EngineStatus status) {
        return context.records()
                .read(RecordType.UPSTREAM, upstream.value())
                .chain(found -> settle(upstream, found.body(), status)
                        .chain(() -> hasUnknown(found.body(), status)
                                ? countUnknown(upstream, engine)
                                : Uni.createFrom().voidItem())
                        .invoke(() -> settled.judge(upstream, found.body(), status)));
    }

    private static boolean hasUnknown(UpstreamRecord record, EngineStatus status) {
        return status.residents().stream().anyMatch(r -> record.find(r.slot()).isEmpty());
    }

    private Uni<Void> settle(UpstreamId upstream, UpstreamRecord record, EngineStatus status) {
        List<Uni<Void>> steps = new ArrayList<>();
        for (Reservation reservation : record.reservations()) {
            if (!active.contains(reservation.slot())) {
                steps.add(settle(upstream, reservation, status));
            }
        }
        return joinAll(steps);
    }

    private Uni<Void> settle(UpstreamId upstream, Reservation reservation, EngineStatus status) {
        if (reservation.state() == ReservationState.LOADED) {
            return settleLoaded(upstream, reservation, status);
        }
        if (reservation.state() == ReservationState.QUARANTINED) {
            return free(upstream, reservation);
        }
        Optional<EngineStatus.Resident> resident = status.find(reservation.slot());
        if (reservation.state() == ReservationState.LOADING && resident.isPresent()) {
            return resident.get().loaded()
                    ? finish(upstream, reservation)
                    : Uni.createFrom().voidItem();
        }
        return isAbandoned(reservation, status)
                .chain(abandoned -> abandoned
                        ? settleAbandoned(upstream, reservation)
                        : Uni.createFrom().voidItem());
    }

    /**
     * Checks if nobody works on a reservation. Where a conditional update or the engine's fence keeps a holder out
     * that works on after all, being out of reach is enough; elsewhere its lease must have ended.
     */
    private Uni<Boolean> isAbandoned(Reservation reservation, EngineStatus status) {
        if (reservation.heldBy(context.lease().entry(), context.lease().epoch())) {
            return Uni.createFrom().item(true);
        }
        boolean holderIsKeptOut = reservation.state() == ReservationState.RESERVED || status.honoursFence();
        if (holderIsKeptOut && !context.isMember().test(reservation.holder())) {
            return Uni.createFrom().item(true);
        }
        return context.observer().hasEnded(reservation.holder(), reservation.holderEpoch());
    }

    private Uni<Void> settleLoaded(UpstreamId upstream, Reservation reservation, EngineStatus status) {
        if (status.find(reservation.slot()).isEmpty()) {
            LogEvent.LOADED_MODEL_MISSING.log(upstream, reservation.slot(), reservation.model());
            return free(upstream, reservation);
        }
        residents.accept(reservation.model());
        return context.records()
                .read(RecordType.MODEL, reservation.model().value())
                .chain(model -> model.body().find(reservation.slot()).isEmpty()
                        ? free(upstream, reservation)
                        : Uni.createFrom().voidItem());
    }

    private Uni<Void> settleAbandoned(UpstreamId upstream, Reservation reservation) {
        LogEvent.RESERVATION_TAKEN_OVER.log(reservation.slot(), upstream, reservation.holder(), reservation.state());
        return free(upstream, reservation);
    }

    /** Records a load that the engine has completed, whoever ordered it. */
    private Uni<Void> finish(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(
                        RecordType.UPSTREAM,
                        upstream.value(),
                        old -> old.find(reservation.slot())
                                .filter(r -> r.equals(reservation))
                                .map(r -> old.with(
                                        r.moved(
                                                ReservationState.LOADED,
                                                context.lease().entry(),
                                                context.lease().epoch()),
                                        false))
                                .orElse(old))
                .replaceWithVoid();
    }

    private Uni<Void> free(UpstreamId upstream, Reservation reservation) {
        if (!active.add(reservation.slot())) {
            return Uni.createFrom().voidItem();
        }
        releaser.release(upstream, reservation.slot())
                .onTermination()
                .invoke(() -> active.remove(reservation.slot()))
                .subscribe()
                .with(done -> LogEvent.UNLOADED.log(reservation.model(), upstream, "reconciled"), failure -> {
                    leaveUnfinished(upstream);
                    LogEvent.UNLOAD_FAILED.log(reservation.slot(), upstream, failure.getMessage());
                });
        return Uni.createFrom().voidItem();
    }

    /**
     * Counts residents that no record names. The report is read again before the record, so that a slot that was
     * freed meanwhile is not taken for unknown.
     */
    private Uni<Void> countUnknown(UpstreamId upstream, Engine engine) {
        return engine.status().chain(status -> {
            if (status.residents().isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            return context.records()
                    .update(RecordType.UPSTREAM, upstream.value(), old -> withUnknown(upstream, old, status))
                    .replaceWithVoid();
        });
    }

    private UpstreamRecord withUnknown(UpstreamId upstream, UpstreamRecord old, EngineStatus status) {
        UpstreamRecord next = old;
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

    /** Ends all reservations of an upstream that left the instance list; its accelerator is gone with it. */
    private Uni<Void> forget(UpstreamId upstream) {
        return context.records().read(RecordType.UPSTREAM, upstream.value()).chain(found -> {
            List<Reservation> gone = found.body().reservations();
            if (gone.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            LogEvent.UPSTREAM_REMOVED.log(upstream, gone.size());
            List<Uni<Void>> steps = gone.stream()
                    .map(reservation -> forget(upstream, reservation))
                    .toList();
            return joinAll(steps);
        });
    }

    private Uni<Void> forget(UpstreamId upstream, Reservation reservation) {
        return context.records()
                .update(RecordType.MODEL, reservation.model().value(), old -> old.without(reservation.slot()))
                .chain(() -> context.records()
                        .update(RecordType.UPSTREAM, upstream.value(), old -> old.without(reservation.slot())))
                .replaceWithVoid();
    }

    /**
     * Removes slots of a model that no reservation stands behind, as a crash between the release of memory and of
     * the slot leaves them.
     *
     * @param model the model's name, not null
     * @param slots the slots as they were read a while ago, not null
     * @return completes when the orphaned ones among them are gone
     */
    public Uni<Void> removeOrphans(String model, List<Slot> slots) {
        List<Uni<Void>> steps = slots.stream()
                .filter(slot -> !active.contains(slot.id()))
                .map(slot -> removeIfOrphan(model, slot))
                .toList();
        return joinAll(steps);
    }

    private Uni<Void> removeIfOrphan(String model, Slot slot) {
        return context.records()
                .read(RecordType.UPSTREAM, slot.upstream().value())
                .chain(found -> {
                    if (found.body().find(slot.id()).isPresent()) {
                        return Uni.createFrom().voidItem();
                    }
                    return context.records()
                            .update(RecordType.MODEL, model, old -> old.without(slot.id()))
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
