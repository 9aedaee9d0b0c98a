package org.tarragonring.policy.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.ModelName;

/**
 * Decides which models in steady demand are worth another local checkpoint, by what the loss of a replica or of a failure
 * domain would cost their callers: the calls that come while the model is loaded from the weight store.
 *
 * <p>A load from the weight store blocks its replica for seconds. A checkpoint is therefore fetched only if the expected
 * cost of a loss is higher than the cost of the load to the calls of other models.
 */
final class CheckpointSpread {

    /**
     * How likely the loss of the only replica with a checkpoint is taken to be while the other checkpoint is kept. It is the
     * inverse of the factor 2 of the second checkpoint by call rate: a copy pays if its model has twice the calls of those
     * that the load blocks.
     */
    private static final double REPLICA_LOSS_PROBABILITY = 0.5;

    /** The same for a failure domain. Chosen, not measured: a domain is lost far less often than a replica. */
    private static final double DOMAIN_LOSS_PROBABILITY = 0.05;

    /** The time for which calls must have been observed: the time constant of the call rates. */
    private static final double MIN_OBSERVED_SECONDS = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ServiceDemand demand;
    private final LoadOptions options;
    private final Map<ModelName, Integer> replicas = new HashMap<>();
    private final Map<ModelName, Set<String>> failureDomains = new HashMap<>();
    private final Set<String> allDomains = new HashSet<>();
    private final Set<ModelName> withoutCheckpoint;

    CheckpointSpread(Collection<ReplicaSnapshot> snapshots, ServiceDemand demand, LoadOptions options) {
        this.demand = Objects.requireNonNull(demand, "demand");
        this.options = Objects.requireNonNull(options, "options");
        for (ReplicaSnapshot snapshot : snapshots) {
            Set<ModelName> models = snapshot.state().localCheckpoints();
            models.addAll(snapshot.state().residents().keySet());
            allDomains.add(failureDomain(snapshot));
            for (ModelName model : models) {
                replicas.merge(model, 1, Integer::sum);
                failureDomains.computeIfAbsent(model, key -> new HashSet<>()).add(failureDomain(snapshot));
            }
        }
        this.withoutCheckpoint = new HashSet<>(options.models());
        withoutCheckpoint.removeAll(replicas.keySet());
    }

    /** Returns the models that no replica has a local checkpoint of. */
    Set<ModelName> withoutCheckpoint() {
        return withoutCheckpoint;
    }

    /** Returns the models that one loss can take all checkpoints of, the one with the most costly loss first. */
    List<ModelName> mostCostlyLossFirst() {
        return demand.byModel().keySet().stream()
                .filter(model -> options.spec(model).isPresent() && lossCostMillis(model) > 0)
                .sorted(Comparator.comparingDouble((ModelName model) -> -lossCostMillis(model))
                        .thenComparing(ModelName::value))
                .toList();
    }

    /**
     * Returns what a further checkpoint on a replica is worth.
     *
     * @param model a model that the engine knows
     * @param replica a replica without a checkpoint of it
     * @return the expected cost of a loss that the checkpoint saves, in milliseconds of callers' waiting
     */
    double worthMillis(ModelName model, ReplicaSnapshot replica) {
        double replicaWorth = replicas.getOrDefault(model, 0) == 1 ? REPLICA_LOSS_PROBABILITY * missedMillis(model) : 0;
        return replicaWorth + domainWorthMillis(model, replica);
    }

    /** Returns the part of the worth that only a replica in another failure domain has. */
    double domainWorthMillis(ModelName model, ReplicaSnapshot replica) {
        Set<String> domains = failureDomains.getOrDefault(model, Set.of());
        return domains.size() == 1 && !domains.contains(failureDomain(replica))
                ? DOMAIN_LOSS_PROBABILITY * missedMillis(model)
                : 0;
    }

    private double lossCostMillis(ModelName model) {
        double probability = replicas.getOrDefault(model, 0) == 1 ? REPLICA_LOSS_PROBABILITY : 0;
        if (allDomains.size() > 1
                && failureDomains.getOrDefault(model, Set.of()).size() == 1) {
            probability += DOMAIN_LOSS_PROBABILITY;
        }
        return probability * missedMillis(model);
    }

    /** Returns what it costs callers to wait for a load from the weight store. */
    private double missedMillis(ModelName model) {
        long loadMillis = options.spec(model).orElseThrow().storeLoadTime().toMillis();
        return steadyCallsPerSecond(model) * loadMillis / MILLIS_PER_SECOND * EvictionCosts.MISSED_CALL_MILLIS;
    }

    /** Returns the call rate that the last seconds and the recent calls have in common, 0 if they are too few to tell. */
    private double steadyCallsPerSecond(ModelName model) {
        AggregateDemand called = demand.of(model);
        return demand.observedSeconds() < MIN_OBSERVED_SECONDS
                ? 0
                : Math.min(called.callsPerSecond(), called.recentCalls() / demand.observedSeconds());
    }

    private static String failureDomain(ReplicaSnapshot replica) {
        return replica.state().listed().failureDomain();
    }
}
