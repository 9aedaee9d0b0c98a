package org.tarragonring.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.tarragonring.config.Model;

/**
 * Describes the loads to start or the replica to release for one model.
 *
 * @param loads the number of loads to start
 * @param decidedReplicas the maximum number of replicas that may be loading or loaded while these loads run; 0 if no
 *     load is started
 * @param release the replica to release, null if none
 * @since 0.1.0
 */
public record ReplicaDecision(int loads, int decidedReplicas, ReplicaView release) {

    /** The time for which a surplus replica stays loaded, so that it is still there if demand rises again. */
    static final Duration SURPLUS_RETENTION = Duration.ofSeconds(30);

    private static final ReplicaDecision NO_ACTION = new ReplicaDecision(0, 0, null);

    /**
     * Compares the replicas of a model with its demand and configuration. Starting loads takes precedence over
     * releasing a replica, so that a replica is replaced before it is released.
     *
     * @param model the model's current configuration, null if the model was removed from the configuration
     * @param observed the model's current demand and replicas, not null
     * @return the decision, never null; starts no load and releases no replica if nothing is to be done
     */
    public static ReplicaDecision decide(Model model, ObservedState observed) {
        if (model == null) {
            return release(observed.loaded().stream().findFirst());
        }
        int desiredReplicas = desiredReplicas(model, observed);
        if (observed.loadAllowed) {
            Optional<ReplicaDecision> load = load(model, observed, desiredReplicas);
            if (load.isPresent()) {
                return load.get();
            }
        }
        return observed.operationInProgress ? NO_ACTION : release(surplus(model, observed, desiredReplicas));
    }

    private static int desiredReplicas(Model model, ObservedState observed) {
        int required = (observed.calls + model.callsPerReplica() - 1) / model.callsPerReplica();
        boolean retainOne = !observed.replicas.isEmpty() && !observed.idleTimeoutExceeded;
        int minimum = Math.max(model.minReplicas(), retainOne ? 1 : 0);
        return Math.max(minimum, Math.min(required, model.maxReplicas()));
    }

    private static Optional<ReplicaDecision> load(Model model, ObservedState observed, int desiredReplicas) {
        int usable =
                (int) observed.replicas.stream().filter(ReplicaView::usable).count();
        int missingReplicas = desiredReplicas - usable - observed.loadsInProgress;
        if (missingReplicas > 0) {
            int unusable = observed.replicas.size() - usable;
            return Optional.of(new ReplicaDecision(missingReplicas, desiredReplicas + unusable, null));
        }
        boolean versionUpgrade = desiredReplicas > 0
                && observed.loadsInProgress == 0
                && observed.calls > 0
                && observed.replicas.stream().noneMatch(r -> r.version().equals(model.version()));
        if (versionUpgrade) {
            return Optional.of(new ReplicaDecision(1, observed.replicas.size() + 1, null));
        }
        return Optional.empty();
    }

    private static Optional<ReplicaView> surplus(Model model, ObservedState observed, int desiredReplicas) {
        List<ReplicaView> loaded = observed.loaded();
        Optional<ReplicaView> unavailable =
                loaded.stream().filter(r -> !r.usable()).findFirst();
        if (unavailable.isPresent()) {
            return unavailable;
        }
        Optional<ReplicaView> outdated = loaded.stream()
                .filter(r -> !r.version().equals(model.version()))
                .findFirst();
        if (outdated.isPresent()) {
            return outdated;
        }
        boolean exceedsDesired = loaded.size() > desiredReplicas;
        boolean retentionExceeded = desiredReplicas == 0 || observed.surplusDuration.compareTo(SURPLUS_RETENTION) >= 0;
        return exceedsDesired && retentionExceeded ? loaded.stream().findFirst() : Optional.empty();
    }

    private static ReplicaDecision release(Optional<ReplicaView> replica) {
        return replica.map(r -> new ReplicaDecision(0, 0, r)).orElse(NO_ACTION);
    }

    /**
     * Holds the demand and the replicas of a model at the time of a decision.
     *
     * @param calls the number of calls queued or running on all entries
     * @param replicas the replicas in the records, without those that this entry is loading or releasing; not null
     * @param loadsInProgress the number of loads in progress
     * @param loadAllowed whether a load may be started; false during the backoff after a failed load
     * @param operationInProgress whether a load or release is in progress, in which case no replica of a configured
     *     model is released
     * @param idleTimeoutExceeded whether the model has been idle for at least its idle timeout
     * @param surplusDuration how long there have been more replicas than required, not null
     */
    public record ObservedState(
            int calls,
            Collection<ReplicaView> replicas,
            int loadsInProgress,
            boolean loadAllowed,
            boolean operationInProgress,
            boolean idleTimeoutExceeded,
            Duration surplusDuration) {

        /** Creates an observed state with an immutable copy of the replicas. */
        public ObservedState {
            replicas = List.copyOf(replicas);
        }

        List<ReplicaView> loaded() {
            return replicas.stream().filter(ReplicaView::loaded).toList();
        }
    }
}
