package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Decides which models to load where, from what the replicas hold and what all entries need.
 *
 * <p>First come models that calls wait for, the most urgent first, each on the replica where it is there soonest and
 * displaces the least. Then busy models get further replicas and room that is free is filled. What is left of the weight
 * store's speed fetches models of which no replica has a copy, so that their first call finds one on a disk, and busy ones
 * that only one replica has.
 *
 * @since 0.2.0
 */
public final class PlacementPlanner {

    /** The weight store's loads that run at full speed; more of them slow each other down. */
    static final int MAX_STORE_LOADS = 4;

    /** The store's loads for later calls while there is traffic: each keeps a replica from swapping for seconds. */
    static final int MAX_STORE_LOADS_IN_TRAFFIC = 1;

    /** The store's loads up to which a busy model gets a second copy; it helps many calls when its replica goes. */
    static final int MAX_STORE_LOADS_FOR_BUSY = 2;

    /**
     * How many times a replica's mean share of the calls a model must have to get a second copy from the store: the load keeps
     * one replica from swapping for as long as the model would be away if its only replica went.
     */
    private static final double SECOND_COPY_FACTOR = 2;

    /** The calls that wait from which a model may come from the store though some replica has a copy of it. */
    private static final int MANY_WAITING_CALLS = 3;

    /** The rate of calls below which the replicas count as idle. */
    private static final double QUIET_CALLS_PER_SECOND = 0.5;

    /** What a load from the weight store costs the other models, since the replica swaps nothing meanwhile. */
    private static final double STORE_LOAD_BLOCKS_MILLIS = 10_000;

    /** How late calls must be before a model is loaded from the store though some replica has a copy of it. */
    private static final long LATE_ENOUGH_FOR_STORE_MILLIS = -2_500;

    /** How long an unload of a model without running calls takes. */
    private static final long UNLOAD_MILLIS = 100;

    /** The rate from which a model is called so often that loads beside it wait for waiting calls. */
    private static final double BUSY_CALLS_PER_SECOND = 1;

    /** The most that evictions for something else than waiting calls may cost, as waiting. */
    private static final double MAX_PRICE_AHEAD = 700;

    private final EngineSpec engine;

    /**
     * Creates a planner for one service.
     *
     * @param engine what its replicas can hold, not null
     */
    public PlacementPlanner(EngineSpec engine) {
        this.engine = Objects.requireNonNull(engine, "engine");
    }

    /**
     * Decides the next loads.
     *
     * @param replicas the replicas that may get work, not null
     * @param needs what entries need, by model; not null
     * @return the loads, at most one for each replica
     */
    public List<PlacementMove> plan(Collection<ReplicaView> replicas, Map<ModelName, ModelNeed> needs) {
        Round round = new Round(replicas, needs);
        round.serveWaitingCalls();
        if (!round.hasCallsWithoutPlace()) {
            round.spreadBusyModels();
        }
        round.secureBusyModels();
        if (!round.hasCallsWithoutPlace()) {
            round.fillFreeRoom();
        }
        round.fetchMissingCopies();
        return round.moves;
    }

    private Duration loadTime(ReplicaState replica, ModelName model) {
        return engine.models().get(model).loadTime(replica.tierOf(model));
    }

    private double megabytes(ModelName model) {
        ModelSpec spec = engine.models().get(model);
        return spec == null ? 0 : spec.weightsMegabytes();
    }

    /** One round of decisions. */
    private final class Round {

        private final List<ReplicaView> candidates = new ArrayList<>();
        private final Collection<ReplicaView> replicas;
        private final Map<ModelName, ModelNeed> needs;
        private final EvictionPrices prices;
        private final Set<ModelName> coming = new HashSet<>();
        private final List<PlacementMove> moves = new ArrayList<>();
        private int storeLoads;

        Round(Collection<ReplicaView> replicas, Map<ModelName, ModelNeed> needs) {
            this.replicas = replicas;
            this.needs = needs;
            this.prices = new EvictionPrices(replicas, needs);
            for (ReplicaView replica : replicas) {
                if (replica.orderable()) {
                    candidates.add(replica);
                }
                replica.underWay().ifPresent(model -> {
                    coming.add(model);
                    storeLoads += replica.state().tierOf(model) == CheckpointTier.REMOTE ? 1 : 0;
                });
            }
        }

        void serveWaitingCalls() {
            known(needs.values().stream()
                            .filter(need -> need.waiting() > 0 && prices.copies(need.model()) == 0)
                            .sorted(Comparator.comparingLong(ModelNeed::slackMillis))
                            .map(ModelNeed::model)
                            .toList())
                    .forEach(model -> load(model, PlacementMove.Reason.WAITING_CALLS, prices.worthOfWaiting(model)));
        }

        /** Checks if calls wait for models that are neither resident nor under way. */
        boolean hasCallsWithoutPlace() {
            return needs.values().stream()
                    .anyMatch(need ->
                            need.waiting() > 0 && prices.copies(need.model()) == 0 && !coming.contains(need.model()));
        }

        void spreadBusyModels() {
            known(needs.keySet().stream()
                            .filter(model -> prices.copies(model) < prices.wantedCopies(model))
                            .sorted(Comparator.comparingDouble(
                                    (ModelName model) -> -prices.need(model).callsPerSecond()))
                            .toList())
                    .forEach(model -> load(model, PlacementMove.Reason.BUSY_MODEL, MAX_PRICE_AHEAD));
        }

        /** Loads what a replica has at hand into room that nothing uses, the most called models first. */
        void fillFreeRoom() {
            for (ReplicaView replica : List.copyOf(candidates)) {
                if (!replica.isFree() || servesBusyModel(replica)) {
                    continue;
                }
                known(replica.state().copies().stream()
                                .filter(model -> prices.copies(model) == 0)
                                .sorted(Comparator.comparingDouble((ModelName model) ->
                                                -prices.need(model).callsPerSecond())
                                        .thenComparing(ModelName::value))
                                .toList())
                        .stream()
                        .filter(model -> room(replica) >= megabytes(model))
                        .findFirst()
                        .ifPresent(model ->
                                decide(new Spot(replica, List.of(), 0), model, PlacementMove.Reason.FREE_ROOM));
            }
        }

        /** Checks if a load would keep a replica from loading adapters that calls are about to ask for. */
        private boolean servesBusyModel(ReplicaView replica) {
            return replica.state().residents().keySet().stream()
                    .anyMatch(model -> prices.need(model).callsPerSecond() >= BUSY_CALLS_PER_SECOND);
        }

        /** Fetches busy models of which only one replica has a copy. */
        void secureBusyModels() {
            Map<ModelName, Integer> copies = replicasWithCopy();
            double worthwhileRate = Math.max(
                    BUSY_CALLS_PER_SECOND, SECOND_COPY_FACTOR * callsPerSecond() / Math.max(1, replicas.size()));
            fetch(
                    copies.keySet().stream()
                            .filter(model ->
                                    copies.get(model) == 1 && prices.need(model).callsPerSecond() >= worthwhileRate)
                            .toList(),
                    MAX_STORE_LOADS_FOR_BUSY,
                    PlacementMove.Reason.SINGLE_COPY);
        }

        void fetchMissingCopies() {
            Set<ModelName> missing = new HashSet<>(engine.models().keySet());
            missing.removeAll(replicasWithCopy().keySet());
            fetch(
                    List.copyOf(missing),
                    callsPerSecond() < QUIET_CALLS_PER_SECOND ? MAX_STORE_LOADS : MAX_STORE_LOADS_IN_TRAFFIC,
                    PlacementMove.Reason.NO_COPY);
        }

        private double callsPerSecond() {
            return needs.values().stream()
                    .mapToDouble(ModelNeed::callsPerSecond)
                    .sum();
        }

        private void fetch(List<ModelName> models, int most, PlacementMove.Reason reason) {
            known(models.stream()
                            .sorted(Comparator.comparingDouble((ModelName model) ->
                                            -prices.need(model).callsPerSecond())
                                    .thenComparing(ModelName::value))
                            .toList())
                    .forEach(model -> {
                        if (storeLoads < most) {
                            load(model, reason, MAX_PRICE_AHEAD);
                        }
                    });
        }

        private Map<ModelName, Integer> replicasWithCopy() {
            Map<ModelName, Integer> copies = new HashMap<>();
            for (ReplicaView replica : replicas) {
                Set<ModelName> models = new HashSet<>(replica.state().copies());
                models.addAll(replica.state().residents().keySet());
                models.forEach(model -> copies.merge(model, 1, Integer::sum));
            }
            return copies;
        }

        private List<ModelName> known(List<ModelName> models) {
            return models.stream()
                    .filter(model -> engine.models().containsKey(model) && !coming.contains(model))
                    .toList();
        }

        /** Chooses the replica where a model is there soonest; if that one is not free yet, it is kept for the model. */
        private void load(ModelName model, PlacementMove.Reason reason, double maxPrice) {
            Optional<Spot> best = candidates.stream()
                    .filter(replica -> !replica.state().holds(model, ""))
                    .filter(replica -> replica.state().tierOf(model) != CheckpointTier.REMOTE
                            || mayLoadFromStore(replica, model, reason))
                    .flatMap(replica -> spot(replica, model, maxPrice).stream())
                    .min(Comparator.comparingDouble(Spot::costMillis));
            best.ifPresent(spot -> {
                if (spot.replica.isFree()) {
                    decide(spot, model, reason);
                } else if (reason == PlacementMove.Reason.WAITING_CALLS) {
                    candidates.remove(spot.replica);
                    coming.add(model);
                }
            });
        }

        /** Checks if a load that keeps a replica busy for seconds is worth it. */
        private boolean mayLoadFromStore(ReplicaView replica, ModelName model, PlacementMove.Reason reason) {
            if (reason == PlacementMove.Reason.NO_COPY
                    || reason == PlacementMove.Reason.SINGLE_COPY
                    || replica.state().residents().isEmpty()) {
                return true;
            }
            boolean hasCopy = replicas.stream()
                    .anyMatch(other -> other.orderable() && other.state().tierOf(model) != CheckpointTier.REMOTE);
            return reason == PlacementMove.Reason.WAITING_CALLS
                    && (!hasCopy
                            || prices.need(model).waiting() >= MANY_WAITING_CALLS
                            || prices.need(model).slackMillis() < LATE_ENOUGH_FOR_STORE_MILLIS);
        }

        private void decide(Spot spot, ModelName model, PlacementMove.Reason reason) {
            CheckpointTier tier = spot.replica.state().tierOf(model);
            storeLoads += tier == CheckpointTier.REMOTE ? 1 : 0;
            candidates.remove(spot.replica);
            coming.add(model);
            spot.evict.forEach(prices::remove);
            long expectedMillis = loadTime(spot.replica.state(), model).toMillis();
            for (ModelName victim : spot.evict) {
                expectedMillis += UNLOAD_MILLIS + spot.replica.residualMillis(victim);
            }
            moves.add(new PlacementMove(spot.replica.state().id(), model, spot.evict, tier, expectedMillis, reason));
        }

        /** Finds what must make room on a replica, cheapest first, and what that and the load cost. */
        private Optional<Spot> spot(ReplicaView replica, ModelName model, double maxPrice) {
            double wanted = megabytes(model);
            double room = room(replica);
            double price = 0;
            List<ModelName> evict = new ArrayList<>();
            List<ModelName> cheapestFirst = replica.state().residents().keySet().stream()
                    .sorted(Comparator.comparingDouble((ModelName m) -> prices.priceOf(replica, m))
                            .thenComparing(ModelName::value))
                    .toList();
            for (ModelName victim : cheapestFirst) {
                if (room >= wanted) {
                    break;
                }
                evict.add(victim);
                room += megabytes(victim);
                price += prices.priceOf(replica, victim);
            }
            if (room < wanted || price >= maxPrice) {
                return Optional.empty();
            }
            if (replica.state().tierOf(model) == CheckpointTier.REMOTE) {
                price += replica.state().residents().isEmpty() ? 0 : STORE_LOAD_BLOCKS_MILLIS;
            }
            long delayMillis =
                    replica.freeInMillis() + loadTime(replica.state(), model).toMillis();
            double costMillis = delayMillis * Math.max(1, prices.need(model).waiting())
                    + price
                    + replica.state().residents().size();
            return Optional.of(new Spot(replica, evict, costMillis));
        }

        private double room(ReplicaView replica) {
            double used =
                    replica.underWay().map(PlacementPlanner.this::megabytes).orElse(0.0);
            for (ModelName resident : replica.state().residents().keySet()) {
                used += megabytes(resident);
            }
            return engine.modelMegabytes() - used;
        }
    }

    private record Spot(ReplicaView replica, List<ModelName> evict, double costMillis) {}
}
