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
 * Reads a model's replicas from the records, plans and carries out loads, and frees replicas.
 *
 * @since 0.1.0
 */
public final class ReplicaOperations {

    private static final int CANDIDATES = 16;
    private static final int MAX_PLANS_TRIED = 4;

    private final HomeContext context;

    /**
     * Creates operations.
     *
     * @param context what homes work with, not null
     */
    public ReplicaOperations(HomeContext context) {
        this.context = context;
    }

    /**
     * Reads a model's replicas.
     *
     * @param model the model, not null
     * @return the replicas as the records have them
     */
    public Uni<ModelView> read(ModelName model) {
        return context.placement()
                .records()
                .read(RecordType.MODEL, model.value())
                .chain(found -> {
                    forgetGone(found.body().slots());
                    return context.reconciler()
                            .removeOrphans(model.value(), found.body().slots())
                            .onFailure()
                            .recoverWithNull()
                            .chain(() -> view(found));
                });
    }

    private void forgetGone(List<Slot> slots) {
        slots.stream()
                .map(Slot::upstream)
                .filter(context.directory()::isGone)
                .forEach(upstream -> context.reconciler()
                        .reconcileNow(upstream)
                        .subscribe()
                        .with(
                                done -> {},
                                failure -> LogEvent.RECONCILIATION_FAILED.log(upstream, failure.getMessage())));
    }

    /**
     * Loads one more replica where it is expected to be ready soonest.
     *
     * @param model the model, not null
     * @param decided the most replicas that may be loading or loaded
     * @param planned is told of the replica before its load begins, not null
     * @return the plan that was carried out; fails with {@link PlacementException} if none was
     */
    public Uni<LoadPlan> load(Model model, int decided, Consumer<ReplicaView> planned) {
        return candidates(model.name()).chain(candidates -> {
            Set<String> usedDomains = new HashSet<>();
            candidates.stream()
                    .filter(c -> holds(c, model.name()))
                    .forEach(c -> usedDomains.add(c.instance().failureDomain()));
            List<Candidate> free =
                    candidates.stream().filter(c -> !holds(c, model.name())).toList();
            List<LoadPlan> plans = context.planner().plans(model, free, usedDomains);
            return tryPlans(model, decided, plans, 0, planned);
        });
    }

    /**
     * Frees a replica.
     *
     * @param model the model, not null
     * @param replica the replica, not null
     * @return completes when slot and memory are free
     */
    public Uni<Void> release(ModelName model, ReplicaView replica) {
        return release(model, replica.upstream(), replica.slot());
    }

    private Uni<Void> release(ModelName model, UpstreamId upstream, SlotId slot) {
        context.active().add(slot);
        return context.releaser()
                .release(upstream, slot)
                .chain(() ->
                        context.placement().records().update(RecordType.MODEL, model.value(), old -> old.without(slot)))
                .replaceWithVoid()
                .onFailure()
                .invoke(failure -> context.reconciler().leaveUnfinished(upstream))
                .onTermination()
                .invoke(() -> context.active().remove(slot));
    }

    private Uni<LoadPlan> tryPlans(
            Model model, int decided, List<LoadPlan> plans, int index, Consumer<ReplicaView> planned) {
        if (index >= Math.min(plans.size(), MAX_PLANS_TRIED)) {
            return Uni.createFrom()
                    .failure(new PlacementException(
                            PlacementException.Reason.NO_ROOM,
                            "no upstream could load model \"%s\", %d were tried".formatted(model.name(), index)));
        }
        LoadPlan plan = plans.get(index);
        LoadRequest request = request(model, decided, plan);
        ReplicaView view = new ReplicaView(
                request.slot(),
                request.upstream(),
                request.version(),
                false,
                true,
                context.placement().clock().millis() + plan.expected().toMillis());
        context.active().add(request.slot());
        planned.accept(view);
        return evict(plan)
                .chain(() -> context.loader().load(request))
                .onFailure()
                .call(() -> undo(request))
                .onTermination()
                .invoke(() -> context.active().remove(request.slot()))
                .replaceWith(plan)
                .onFailure(ReplicaOperations::isWorthAnotherPlan)
                .recoverWithUni(() -> tryPlans(model, decided, plans, index + 1, planned));
    }

    private static boolean isWorthAnotherPlan(Throwable failure) {
        return failure instanceof PlacementException e
                && (e.reason() == PlacementException.Reason.NO_ROOM || e.reason() == PlacementException.Reason.ENGINE);
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

    private Uni<Void> undo(LoadRequest request) {
        return context.releaser()
                .release(request.upstream(), request.slot())
                .chain(() -> context.placement()
                        .records()
                        .update(RecordType.MODEL, request.model().value(), old -> old.without(request.slot())))
                .replaceWithVoid()
                .onFailure()
                .invoke(failure -> context.reconciler().leaveUnfinished(request.upstream()))
                .onFailure()
                .recoverWithNull();
    }

    private LoadRequest request(Model model, int decided, LoadPlan plan) {
        return new LoadRequest(
                context.slotIds().get(),
                model.name(),
                model.version(),
                model.acceleratorBytes(),
                plan.candidate().instance().id(),
                decided,
                context.config().generation());
    }

    /**
     * Reads the upstreams that come first for a model; the same ones come first each time, so that they are likely
     * to have its checkpoint.
     */
    private Uni<List<Candidate>> candidates(ModelName model) {
        List<Instance> usable =
                context.directory().engines().stream().filter(i -> !i.leaving()).toList();
        List<Uni<Optional<Candidate>>> reads = Rendezvous.rank(model.value(), usable, i -> i.id().value()).stream()
                .limit(CANDIDATES)
                .map(this::candidate)
                .toList();
        if (reads.isEmpty()) {
            return Uni.createFrom().item(List.of());
        }
        return Uni.join()
                .all(reads)
                .andFailFast()
                .map(found -> found.stream().flatMap(Optional::stream).toList());
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

    private static boolean holds(Candidate candidate, ModelName model) {
        return candidate.record().reservations().stream()
                .anyMatch(r -> r.model().equals(model));
    }

    private Uni<ModelView> view(Versioned<ModelRecord> model) {
        List<Slot> slots = model.body().slots();
        if (slots.isEmpty()) {
            return Uni.createFrom().item(new ModelView(model.version(), List.of()));
        }
        List<Uni<Optional<ReplicaView>>> reads = slots.stream()
                .map(slot -> context.placement()
                        .records()
                        .read(RecordType.UPSTREAM, slot.upstream().value())
                        .map(upstream -> view(slot, upstream.body())))
                .toList();
        return Uni.join().all(reads).andFailFast().map(views -> {
            List<ReplicaView> present = new ArrayList<>();
            views.forEach(view -> view.ifPresent(present::add));
            return new ModelView(model.version(), present);
        });
    }

    private Optional<ReplicaView> view(Slot slot, UpstreamRecord upstream) {
        return upstream.find(slot.id())
                .map(r -> new ReplicaView(
                        slot.id(),
                        slot.upstream(),
                        slot.version(),
                        r.state() == ReservationState.LOADED,
                        isUsable(r) && context.directory().mayGetWork(slot.upstream()),
                        context.placement().clock().millis()
                                + Duration.ofSeconds(1).toMillis()));
    }

    /** Checks if a replica serves or is on its way; not if it is being freed. */
    private boolean isUsable(Reservation reservation) {
        return switch (reservation.state()) {
            case LOADED -> true;
            case RESERVED, LOADING -> !isLeftHere(reservation);
            default -> false;
        };
    }

    /** Checks if a reservation is this entry's own although it no longer works on it. */
    private boolean isLeftHere(Reservation reservation) {
        EntryLease lease = context.placement().lease();
        return reservation.heldBy(lease.entry(), lease.epoch())
                && !context.active().contains(reservation.slot());
    }

    /**
     * A model's replicas as the records have them.
     *
     * @param version the version of the model's record
     * @param replicas the replicas, not null
     */
    public record ModelView(long version, List<ReplicaView> replicas) {

        /** Copies the list. */
        public ModelView {
            replicas = List.copyOf(replicas);
        }
    }
}
