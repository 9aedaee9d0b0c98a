package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * displaces the least. Then busy models get further replicas. What is left of the weight store's speed fetches models of
 * which no replica has a copy, so that their first call finds one on a disk.
 *
 * @since 0.2.0
 */
public final class PlacementPlanner {

    /** Calls that a replica runs of one model before another replica gets the model too. */
    static final int CALLS_PER_REPLICA = 10;

    /** The weight store's loads that run at full speed; more of them slow each other down. */
    static final int MAX_STORE_LOADS = 4;

    /** How long an unload waits on average for a call that the replica runs. */
    private static final Duration RUN_TIME = Duration.ofMillis(600);

    /** The price of evicting the only replica of a model that is called once a second. */
    private static final double MILLIS_PER_CALL_RATE = 2_000;

    /** The price of evicting a model that calls wait for or that is about to serve them. */
    private static final double NEEDED_PRICE_MILLIS = 20_000;

    private final EngineSpec engine;

    /**
     * Creates a planner for one service.
     *
     * @param engine what its replicas can hold, not null
     */
    public PlacementPlanner(EngineSpec engine) {
        this.engine = engine;
    }

    /**
     * Decides the next loads.
     *
     * @param replicas the replicas that may be ordered now, those that load included; not null
     * @param needs what entries need, by model; not null
     * @param isBusy tells the replicas that have an order or a decided load under way, by id, with the model; not null
     * @param mayPrefetch whether models without a copy may be fetched before anybody calls them
     * @return the loads, at most one for each replica
     */
    public List<PlacementMove> plan(
            Collection<ReplicaState> replicas,
            Map<ModelName, ModelNeed> needs,
            Map<ReplicaState, ModelName> isBusy,
            boolean mayPrefetch) {
        Round round = new Round(replicas, needs, isBusy);
        round.serveWaitingCalls();
        round.spreadBusyModels();
        if (mayPrefetch) {
            round.fetchMissingCopies();
        }
        return round.moves;
    }

    /** Returns the expected time of a load. */
    Duration loadTime(ReplicaState replica, ModelName model) {
        ModelSpec spec = engine.models().get(model);
        return switch (replica.tierOf(model)) {
            case MEMORY -> spec.loadFromMemory();
            case DISK -> spec.loadFromDisk();
            default -> spec.loadFromStore();
        };
    }

    /** One round of decisions. */
    private final class Round {

        private final List<ReplicaState> free = new ArrayList<>();
        private final Collection<ReplicaState> replicas;
        private final Map<ModelName, ModelNeed> needs;
        private final Map<ModelName, Integer> residentCounts = new HashMap<>();
        private final Set<ModelName> coming = new HashSet<>();
        private final List<PlacementMove> moves = new ArrayList<>();
        private int storeLoads;

        Round(Collection<ReplicaState> replicas, Map<ModelName, ModelNeed> needs, Map<ReplicaState, ModelName> busy) {
            this.replicas = replicas;
            this.needs = needs;
            for (ReplicaState replica : replicas) {
                replica.residents().keySet().forEach(model -> residentCounts.merge(model, 1, Integer::sum));
                ModelName underWay = busy.get(replica);
                if (underWay == null) {
                    free.add(replica);
                } else {
                    coming.add(underWay);
                    storeLoads += replica.tierOf(underWay) == CheckpointTier.REMOTE ? 1 : 0;
                }
            }
        }

        void serveWaitingCalls() {
            needs.values().stream()
                    .filter(need -> need.waiting() > 0 && engine.models().containsKey(need.model()))
                    .filter(need -> !residentCounts.containsKey(need.model()) && !coming.contains(need.model()))
                    .sorted(Comparator.comparingLong(ModelNeed::slackMillis))
                    .toList()
                    .forEach(need -> load(need.model(), PlacementMove.Reason.WAITING_CALLS));
        }

        void spreadBusyModels() {
            needs.values().stream()
                    .filter(need -> engine.models().containsKey(need.model()) && !coming.contains(need.model()))
                    .filter(need -> {
                        int residents = residentCounts.getOrDefault(need.model(), 0);
                        return residents > 0
                                && need.running() + need.waiting() > CALLS_PER_REPLICA * residents
                                && residents < replicas.size();
                    })
                    .sorted(Comparator.comparingInt((ModelNeed need) -> -need.running() - need.waiting()))
                    .toList()
                    .forEach(need -> load(need.model(), PlacementMove.Reason.BUSY_MODEL));
        }

        void fetchMissingCopies() {
            Set<ModelName> missing = new HashSet<>(engine.models().keySet());
            replicas.forEach(replica -> {
                missing.removeAll(replica.residents().keySet());
                missing.removeAll(replica.copies());
            });
            missing.removeAll(coming);
            List<ModelName> ordered = missing.stream()
                    .sorted(Comparator.comparingDouble((ModelName m) -> -need(m).callsPerSecond())
                            .thenComparing(ModelName::value))
                    .toList();
            for (ModelName model : ordered) {
                if (storeLoads >= MAX_STORE_LOADS) {
                    return;
                }
                load(model, PlacementMove.Reason.NO_COPY);
            }
        }

        private void load(ModelName model, PlacementMove.Reason reason) {
            Spot best = null;
            for (ReplicaState replica : free) {
                if (replica.holds(model, "")) {
                    continue;
                }
                Optional<Spot> option = option(replica, model, reason);
                if (option.isPresent() && (best == null || option.get().costMillis < best.costMillis)) {
                    best = option.get();
                }
            }
            if (best == null) {
                return;
            }
            CheckpointTier tier = best.replica.tierOf(model);
            storeLoads += tier == CheckpointTier.REMOTE ? 1 : 0;
            free.remove(best.replica);
            coming.add(model);
            best.evict.forEach(evicted -> residentCounts.merge(evicted, -1, Integer::sum));
            residentCounts.values().removeIf(count -> count <= 0);
            moves.add(new PlacementMove(best.replica.id(), model, best.evict, tier, reason));
        }

        /** Finds what must make room on a replica, cheapest first, and what that and the load cost. */
        private Optional<Spot> option(ReplicaState replica, ModelName model, PlacementMove.Reason reason) {
            double wanted = engine.models().get(model).weightsMegabytes();
            double room = engine.modelMegabytes();
            for (ModelName resident : replica.residents().keySet()) {
                room -= megabytes(resident);
            }
            List<ModelName> evict = new ArrayList<>();
            double costMillis = loadTime(replica, model).toMillis();
            List<ModelName> cheapestFirst = replica.residents().keySet().stream()
                    .sorted(Comparator.comparingDouble((ModelName m) -> evictionPrice(replica, m))
                            .thenComparing(ModelName::value))
                    .toList();
            for (ModelName victim : cheapestFirst) {
                if (room >= wanted) {
                    break;
                }
                double price = evictionPrice(replica, victim);
                if (reason != PlacementMove.Reason.WAITING_CALLS && price >= NEEDED_PRICE_MILLIS / 2) {
                    return Optional.empty();
                }
                evict.add(victim);
                room += megabytes(victim);
                costMillis += price;
            }
            if (room < wanted) {
                return Optional.empty();
            }
            costMillis += replica.copies().size();
            return Optional.of(new Spot(replica, evict, costMillis));
        }

        private double evictionPrice(ReplicaState replica, ModelName model) {
            ModelNeed need = need(model);
            int residents = Math.max(1, residentCounts.getOrDefault(model, 1));
            double price = MILLIS_PER_CALL_RATE * need.callsPerSecond() / residents;
            if (replica.inFlight(model) > 0 || need.running() > 0 && residents == 1) {
                price += RUN_TIME.toMillis();
            }
            if (residents == 1 && need.waiting() > 0) {
                price += NEEDED_PRICE_MILLIS;
            }
            if (need.running() + need.waiting() > CALLS_PER_REPLICA * (residents - 1) && need.callsPerSecond() >= 1) {
                price += NEEDED_PRICE_MILLIS;
            }
            return price;
        }

        private ModelNeed need(ModelName model) {
            return needs.getOrDefault(model, ModelNeed.none(model));
        }

        private double megabytes(ModelName model) {
            ModelSpec spec = engine.models().get(model);
            return spec == null ? 0 : spec.weightsMegabytes();
        }
    }

    private record Spot(ReplicaState replica, List<ModelName> evict, double costMillis) {}
}
