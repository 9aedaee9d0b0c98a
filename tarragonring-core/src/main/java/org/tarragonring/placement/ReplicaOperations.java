package org.tarragonring.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.Model;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.lease.EntryLease;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Reservation;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.objects.Slot;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.objects.Versioned;

/**
 * Reads the replicas of a model from the records, loads additional replicas and releases replicas.
 *
 * @since 0.1.0
 */
public final class ReplicaOperations {

    private static final int MAX_CANDIDATES = 16;
    private static final int MAX_PLAN_ATTEMPTS = 4;

    private final CoordinatorContext context;

    /**
     * Creates operations that share the dependencies of the coordinators.
     *
     * @param context the dependencies of coordinators, not null
     */
    public ReplicaOperations(CoordinatorContext context) {
        this.context = context;
    }

    /**
     * Reads the replicas of a model. Also removes the model's slots that have no reservation, and starts to reconcile
     * those upstreams of its slots that have left the instance list.
     *
     * @param model the model's name, not null
     * @return the recorded replicas
     */
    public Uni<ModelReplicas> read(ModelName model) {
        return context.placement()
                .records()
                .read(RecordType.MODEL, model.value())
                .chain(modelRecord -> {
                    reconcileRemovedUpstreams(modelRecord.body().slots());
                    return context.reconciler()
                            .removeOrphanedSlots(
                                    model.value(), modelRecord.body().slots())
                            .onFailure()
                            .recoverWithNull()
                            .chain(() -> toReplicas(modelRecord));
                });
    }

    private void reconcileRemovedUpstreams(List<Slot> slots) {
        slots.stream()
                .map(Slot::upstream)
                .filter(context.directory()::isRemoved)
                .forEach(upstream -> context.reconciler()
                        .reconcileUncached(upstream)
                        .subscribe()
                        .with(
                                done -> {},
                                failure -> LogEvent.RECONCILIATION_FAILED.log(upstream, failure.getMessage())));
    }

    /**
     * Loads one more replica according to the best-ranked plan. If the engine fails or lacks memory, continues with
     * the next plan.
     *
     * @param model the model, not null
     * @param decidedReplicas the maximum number of replicas that may be loading or loaded
     * @param planned receives the replica of each plan before its load starts, not null
     * @return the plan that succeeded; fails with {@link PlacementException} if none did
     */
    public Uni<LoadPlan> load(Model model, int decidedReplicas, Consumer<ReplicaView> planned) {
        return candidates(model.name()).chain(candidates -> {
            Set<String> usedDomains = new HashSet<>();
            candidates.stream()
                    .filter(c -> hasReservationFor(c, model.name()))
                    .forEach(c -> usedDomains.add(c.instance().failureDomain()));
            List<Candidate> available = candidates.stream()
                    .filter(c -> !hasReservationFor(c, model.name()))
                    .toList();
            List<LoadPlan> plans = context.planner().rankPlans(model, available, usedDomains);
            return tryPlans(model, decidedReplicas, plans, 0, planned);
        });
    }

    /**
     * Releases a replica.
     *
     * @param model the model's name, not null
     * @param replica the replica, not null
     * @return completes when the slot and the reservation are removed; on failure the upstream is marked for another
     *     reconciliation
     */
    public Uni<Void> release(ModelName model, ReplicaView replica) {
        return release(model, replica.upstream(), replica.slot());
    }

    private Uni<Void> release(ModelName model, UpstreamId upstream, SlotId slot) {
        context.activeSlots().add(slot);
        return context.releaser()
                .release(upstream, slot)
                .chain(() -> context.placement()
                        .records()
                        .update(RecordType.MODEL, model.value(), current -> current.without(slot)))
                .replaceWithVoid()
                .onFailure()
                .invoke(failure -> context.reconciler().markUnfinished(upstream))
                .onTermination()
                .invoke(() -> context.activeSlots().remove(slot));
    }

    private Uni<LoadPlan> tryPlans(
            Model model, int decidedReplicas, List<LoadPlan> plans, int index, Consumer<ReplicaView> planned) {
        if (index >= Math.min(plans.size(), MAX_PLAN_ATTEMPTS)) {
            return Uni.createFrom()
                    .failure(new PlacementException(
                            PlacementException.Reason.INSUFFICIENT_MEMORY,
                            "no upstream could load model \"%s\"; %d load plans were tried"
                                    .formatted(model.name(), index)));
        }
        LoadPlan plan = plans.get(index);
        ReplicaLoadRequest request = request(model, decidedReplicas, plan);
        ReplicaView view = new ReplicaView(
                request.slot(),
                request.upstream(),
                request.version(),
                false,
                true,
                context.placement().clock().millis() + plan.expectedDuration().toMillis());
        context.activeSlots().add(request.slot());
        planned.accept(view);
        return evict(plan)
                .chain(() -> context.loader().load(request))
                .onFailure()
                .call(() -> rollBack(request))
                .onTermination()
                .invoke(() -> context.activeSlots().remove(request.slot()))
                .replaceWith(plan)
                .onFailure(ReplicaOperations::isRetryableElsewhere)
                .recoverWithUni(() -> tryPlans(model, decidedReplicas, plans, index + 1, planned));
    }

    private static boolean isRetryableElsewhere(Throwable failure) {
        return failure instanceof PlacementException e
                && (e.reason() == PlacementException.Reason.INSUFFICIENT_MEMORY
                        || e.reason() == PlacementException.Reason.ENGINE_FAILURE);
    }

    private Uni<Void> evict(LoadPlan plan) {
        Uni<Void> evicted = Uni.createFrom().voidItem();
        for (SlotId slot : plan.evictions()) {
            Reservation reservation = plan.candidate().record().find(slot).orElseThrow();
            evicted = evicted.chain(() ->
                    release(reservation.model(), plan.candidate().instance().id(), slot));
        }
        return evicted;
    }

    private Uni<Void> rollBack(ReplicaLoadRequest request) {
        return context.releaser()
                .release(request.upstream(), request.slot())
                .chain(() -> context.placement()
                        .records()
                        .update(RecordType.MODEL, request.model().value(), current -> current.without(request.slot())))
                .replaceWithVoid()
                .onFailure()
                .invoke(failure -> context.reconciler().markUnfinished(request.upstream()))
                .onFailure()
                .recoverWithNull();
    }

    private ReplicaLoadRequest request(Model model, int decidedReplicas, LoadPlan plan) {
        return new ReplicaLoadRequest(
                context.slotIds().get(),
                model.name(),
                model.version(),
                model.acceleratorBytes(),
                plan.candidate().instance().id(),
                decidedReplicas,
                context.config().generation());
    }

    /**
     * Reads the upstreams that rank highest for a model in rendezvous hashing. The ranking is stable, so these
     * upstreams are likely to have the model's checkpoint already.
     */
    private Uni<List<Candidate>> candidates(ModelName model) {
        List<Instance> usable =
                context.directory().engines().stream().filter(i -> !i.leaving()).toList();
        List<Uni<Optional<Candidate>>> reads = Rendezvous.rank(model.value(), usable, i -> i.id().value()).stream()
                .limit(MAX_CANDIDATES)
                .map(this::candidate)
                .toList();
        if (reads.isEmpty()) {
            return Uni.createFrom().item(List.of());
        }
        return Uni.join()
                .all(reads)
                .andFailFast()
                .map(results -> results.stream().flatMap(Optional::stream).toList());
    }

    private Uni<Optional<Candidate>> candidate(Instance instance) {
        return context.directory()
                .find(instance.id())
                .map(engine -> Uni.combine()
                        .all()
                        .unis(
                                context.placement()
                                        .records()
                                        .read(RecordType.UPSTREAM, instance.id().value()),
                                engine.status())
                        .asTuple()
                        .map(pair -> Optional.of(
                                new Candidate(instance, pair.getItem1().body(), pair.getItem2())))
                        .onFailure()
                        .recoverWithItem(Optional.empty()))
                .orElse(Uni.createFrom().item(Optional.empty()));
    }

    private static boolean hasReservationFor(Candidate candidate, ModelName model) {
        return candidate.record().reservations().stream()
                .anyMatch(r -> r.model().equals(model));
    }

    private Uni<ModelReplicas> toReplicas(Versioned<ModelRecord> modelRecord) {
        List<Slot> slots = modelRecord.body().slots();
        if (slots.isEmpty()) {
            return Uni.createFrom().item(new ModelReplicas(modelRecord.version(), List.of()));
        }
        List<Uni<Optional<ReplicaView>>> reads = slots.stream()
                .map(slot -> context.placement()
                        .records()
                        .read(RecordType.UPSTREAM, slot.upstream().value())
                        .map(upstream -> toReplica(slot, upstream.body())))
                .toList();
        return Uni.join().all(reads).andFailFast().map(views -> {
            List<ReplicaView> present = new ArrayList<>();
            views.forEach(view -> view.ifPresent(present::add));
            return new ModelReplicas(modelRecord.version(), present);
        });
    }

    private Optional<ReplicaView> toReplica(Slot slot, UpstreamRecord upstream) {
        return upstream.find(slot.id())
                .map(r -> new ReplicaView(
                        slot.id(),
                        slot.upstream(),
                        slot.version(),
                        r.state() == ReservationState.LOADED,
                        isUsable(r) && context.directory().acceptsNewWork(slot.upstream()),
                        context.placement().clock().millis()
                                + Duration.ofSeconds(1).toMillis()));
    }

    /** Checks whether a replica is loaded or being loaded; false if it is being unloaded or its load was abandoned. */
    private boolean isUsable(Reservation reservation) {
        return switch (reservation.state()) {
            case LOADED -> true;
            case RESERVED, LOADING -> !isAbandonedHere(reservation);
            default -> false;
        };
    }

    /** Checks whether this entry holds a reservation although it is no longer loading or releasing the slot. */
    private boolean isAbandonedHere(Reservation reservation) {
        EntryLease lease = context.placement().lease();
        return reservation.isHeldBy(lease.entry(), lease.epoch())
                && !context.activeSlots().contains(reservation.slot());
    }

    /**
     * Holds the recorded replicas of a model.
     *
     * @param recordVersion the version of the model's record
     * @param replicas the replicas, not null
     */
    public record ModelReplicas(long recordVersion, List<ReplicaView> replicas) {

        /** Creates an instance with an immutable copy of the replicas. */
        public ModelReplicas {
            replicas = List.copyOf(replicas);
        }
    }
}
