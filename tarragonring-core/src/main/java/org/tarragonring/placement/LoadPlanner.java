package org.tarragonring.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.tarragonring.config.Model;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.objects.Reservation;
import org.tarragonring.objects.ReservationState;
import org.tarragonring.upstream.CheckpointTier;
import org.tarragonring.upstream.EngineStatus;

/**
 * Ranks upstreams for a load by the expected time until the model is ready: the checkpoint's tier, free memory, and
 * what would have to be unloaded first.
 *
 * @since 0.1.0
 */
public final class LoadPlanner {

    private static final Duration EVICTION_TIME = Duration.ofMillis(300);

    private final LoadTimes loadTimes;
    private final Duration minResidence;
    private final ToIntFunction<ModelName> weightOf;

    /**
     * Creates a planner.
     *
     * @param loadTimes how long loads take, not null
     * @param minResidence how long a model must have been idle before it may be evicted, not null
     * @param weightOf tells how much a late call of a model costs, not null
     */
    public LoadPlanner(LoadTimes loadTimes, Duration minResidence, ToIntFunction<ModelName> weightOf) {
        this.loadTimes = Objects.requireNonNull(loadTimes, "loadTimes");
        this.minResidence = Objects.requireNonNull(minResidence, "minResidence");
        this.weightOf = Objects.requireNonNull(weightOf, "weightOf");
    }

    /**
     * Ranks the ways to load a model.
     *
     * @param model the model, not null
     * @param candidates the upstreams considered, not null
     * @param usedDomains failure domains that have a replica already, not null
     * @return the plans that are possible, best first
     */
    public List<LoadPlan> plans(Model model, Collection<Candidate> candidates, Set<String> usedDomains) {
        return candidates.stream()
                .filter(candidate -> !candidate.status().leaving())
                .map(candidate -> plan(model, candidate))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing((LoadPlan p) -> !p.evictions().isEmpty())
                        .thenComparing(p ->
                                usedDomains.contains(p.candidate().instance().failureDomain()))
                        .thenComparing(LoadPlan::expected)
                        .thenComparing(p -> p.candidate().freeBytes(), Comparator.reverseOrder())
                        .thenComparing(p -> p.candidate().instance().id()))
                .toList();
    }

    private Optional<LoadPlan> plan(Model model, Candidate candidate) {
        CheckpointTier tier = candidate.status().tier(model.name());
        Duration load = loadTimes.estimate(tier, model.acceleratorBytes());
        long missingBytes = model.acceleratorBytes() - candidate.freeBytes();
        if (missingBytes <= 0) {
            return Optional.of(new LoadPlan(candidate, List.of(), tier, load));
        }
        List<SlotId> evictions = evictions(candidate, missingBytes);
        if (evictions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new LoadPlan(candidate, evictions, tier, load.plus(EVICTION_TIME)));
    }

    /** Chooses idle placements that together free enough memory, cheapest first; empty if they cannot. */
    private List<SlotId> evictions(Candidate candidate, long missingBytes) {
        List<Idle> idle = candidate.record().reservations().stream()
                .filter(r -> r.state() == ReservationState.LOADED)
                .map(r -> idle(candidate, r))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(Idle::cost))
                .toList();
        List<SlotId> chosen = new ArrayList<>();
        long freedBytes = 0;
        for (Idle next : idle) {
            if (freedBytes >= missingBytes) {
                break;
            }
            chosen.add(next.reservation.slot());
            freedBytes += next.reservation.bytes();
        }
        return freedBytes >= missingBytes ? chosen : List.of();
    }

    private Optional<Idle> idle(Candidate candidate, Reservation reservation) {
        return candidate
                .status()
                .find(reservation.slot())
                .filter(resident -> resident.loaded() && resident.inFlight() == 0)
                .filter(resident -> resident.idleMillis() >= minResidence.toMillis())
                .map(resident -> new Idle(reservation, cost(candidate, reservation, resident)));
    }

    /** The longer a model was idle the less likely it is called next; a call would then wait for a reload. */
    private double cost(Candidate candidate, Reservation reservation, EngineStatus.Resident resident) {
        Duration reload = loadTimes.estimate(candidate.status().tier(reservation.model()), reservation.bytes());
        double returnsPerMilli = 1.0 / (1 + resident.idleMillis());
        return weightOf.applyAsInt(reservation.model()) * returnsPerMilli * reload.toMillis() / reservation.bytes();
    }

    private record Idle(Reservation reservation, double cost) {}
}
