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
 * Ranks upstreams for the load of a model. Upstreams that need no eviction come first, then those in a failure domain
 * without a replica of the model, then those with the shorter expected load time, then those with more free memory.
 *
 * @since 0.1.0
 */
public final class LoadPlanner {

    private static final Duration EVICTION_DURATION = Duration.ofMillis(300);

    private final LoadTimeEstimator loadTimes;
    private final Duration minResidence;
    private final ToIntFunction<ModelName> callWeight;

    /**
     * Creates a planner.
     *
     * @param loadTimes estimates load durations, not null
     * @param minResidence how long a model must have been idle before it may be evicted, not null
     * @param callWeight returns the relative cost of a delayed call to a model, not null
     */
    public LoadPlanner(LoadTimeEstimator loadTimes, Duration minResidence, ToIntFunction<ModelName> callWeight) {
        this.loadTimes = Objects.requireNonNull(loadTimes, "loadTimes");
        this.minResidence = Objects.requireNonNull(minResidence, "minResidence");
        this.callWeight = Objects.requireNonNull(callWeight, "callWeight");
    }

    /**
     * Returns the possible load plans for a model.
     *
     * @param model the model to load, not null
     * @param candidates the upstreams to consider, not null
     * @param usedDomains the failure domains that already have a replica of the model, not null
     * @return at most one plan per candidate, best first; empty if no candidate has or can free enough memory
     */
    public List<LoadPlan> rankPlans(Model model, Collection<Candidate> candidates, Set<String> usedDomains) {
        return candidates.stream()
                .filter(candidate -> !candidate.status().leaving())
                .map(candidate -> plan(model, candidate))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing((LoadPlan p) -> !p.evictions().isEmpty())
                        .thenComparing(p ->
                                usedDomains.contains(p.candidate().instance().failureDomain()))
                        .thenComparing(LoadPlan::expectedDuration)
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
        return Optional.of(new LoadPlan(candidate, evictions, tier, load.plus(EVICTION_DURATION)));
    }

    /** Selects idle replicas to evict, cheapest first, until enough memory is freed; empty if it cannot be. */
    private List<SlotId> evictions(Candidate candidate, long missingBytes) {
        List<EvictionCandidate> evictable = candidate.record().reservations().stream()
                .filter(r -> r.state() == ReservationState.LOADED)
                .map(r -> evictionCandidate(candidate, r))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(EvictionCandidate::cost))
                .toList();
        List<SlotId> chosen = new ArrayList<>();
        long freedBytes = 0;
        for (EvictionCandidate next : evictable) {
            if (freedBytes >= missingBytes) {
                break;
            }
            chosen.add(next.reservation.slot());
            freedBytes += next.reservation.bytes();
        }
        return freedBytes >= missingBytes ? chosen : List.of();
    }

    private Optional<EvictionCandidate> evictionCandidate(Candidate candidate, Reservation reservation) {
        return candidate
                .status()
                .find(reservation.slot())
                .filter(resident -> resident.loaded() && resident.inFlight() == 0)
                .filter(resident -> resident.idleMillis() >= minResidence.toMillis())
                .map(resident -> new EvictionCandidate(reservation, cost(candidate, reservation, resident)));
    }

    /**
     * Estimates the cost of evicting a replica per freed byte. The longer a model has been idle, the less likely a call
     * arrives soon that would have to wait for a reload.
     */
    private double cost(Candidate candidate, Reservation reservation, EngineStatus.Resident resident) {
        Duration reload = loadTimes.estimate(candidate.status().tier(reservation.model()), reservation.bytes());
        double callsPerMilli = 1.0 / (1 + resident.idleMillis());
        return callWeight.applyAsInt(reservation.model()) * callsPerMilli * reload.toMillis() / reservation.bytes();
    }

    private record EvictionCandidate(Reservation reservation, double cost) {}
}
