package org.tarragonring.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.tarragonring.config.Model;

/**
 * What is to be done about a model's replicas.
 *
 * @param loads how many loads to begin
 * @param decidedReplicas the most replicas that may be loading or loaded while those loads run
 * @param release the replica to free, null if none is
 * @since 0.1.0
 */
public record ReplicaDecision(int loads, int decidedReplicas, ReplicaView release) {

    /** How long a replica more than needed is kept in case the need returns. */
    static final Duration SURPLUS_KEEP = Duration.ofSeconds(30);

    private static final ReplicaDecision NOTHING = new ReplicaDecision(0, 0, null);

    /**
     * Decides.
     *
     * @param model the model as configured now, null if it is configured no more
     * @param situation what is known of demand and replicas, not null
     * @return the decision
     */
    public static ReplicaDecision decide(Model model, Situation situation) {
        if (model == null) {
            return release(situation.loaded().stream().findFirst());
        }
        int wanted = wanted(model, situation);
        if (situation.mayLoad) {
            Optional<ReplicaDecision> load = load(model, situation, wanted);
            if (load.isPresent()) {
                return load.get();
            }
        }
        return situation.busy ? NOTHING : release(surplus(model, situation, wanted));
    }

    private static int wanted(Model model, Situation situation) {
        int needed = (situation.calls + model.callsPerReplica() - 1) / model.callsPerReplica();
        boolean keepsOne = !situation.replicas.isEmpty() && !situation.idleTooLong;
        int atLeast = Math.max(model.minReplicas(), keepsOne ? 1 : 0);
        return Math.max(atLeast, Math.min(needed, model.maxReplicas()));
    }

    private static Optional<ReplicaDecision> load(Model model, Situation situation, int wanted) {
        int usable =
                (int) situation.replicas.stream().filter(ReplicaView::usable).count();
        int missing = wanted - usable - situation.attempts;
        if (missing > 0) {
            int unusable = situation.replicas.size() - usable;
            return Optional.of(new ReplicaDecision(missing, wanted + unusable, null));
        }
        boolean replaces = wanted > 0
                && situation.attempts == 0
                && situation.calls > 0
                && situation.replicas.stream().noneMatch(r -> r.version().equals(model.version()));
        if (replaces) {
            return Optional.of(new ReplicaDecision(1, situation.replicas.size() + 1, null));
        }
        return Optional.empty();
    }

    private static Optional<ReplicaView> surplus(Model model, Situation situation, int wanted) {
        List<ReplicaView> loaded = situation.loaded();
        Optional<ReplicaView> leaving = loaded.stream().filter(r -> !r.usable()).findFirst();
        if (leaving.isPresent()) {
            return leaving;
        }
        Optional<ReplicaView> outdated = loaded.stream()
                .filter(r -> !r.version().equals(model.version()))
                .findFirst();
        if (outdated.isPresent()) {
            return outdated;
        }
        boolean tooMany = loaded.size() > wanted;
        boolean forLong = wanted == 0 || situation.surplusFor.compareTo(SURPLUS_KEEP) >= 0;
        return tooMany && forLong ? loaded.stream().findFirst() : Optional.empty();
    }

    private static ReplicaDecision release(Optional<ReplicaView> replica) {
        return replica.map(r -> new ReplicaDecision(0, 0, r)).orElse(NOTHING);
    }

    /**
     * What is known when a decision is made.
     *
     * @param calls the calls that wait or run on all entries
     * @param replicas the replicas that the records name, without those of attempts in progress; not null
     * @param attempts the loads in progress
     * @param mayLoad whether a load may be begun; not for a while after one failed
     * @param busy whether a load or release is in progress, so that nothing is freed
     * @param idleTooLong whether the model was idle for as long as it is worth keeping
     * @param surplusFor how long there have been more replicas than needed, not null
     */
    public record Situation(
            int calls,
            Collection<ReplicaView> replicas,
            int attempts,
            boolean mayLoad,
            boolean busy,
            boolean idleTooLong,
            Duration surplusFor) {

        /** Copies the collection. */
        public Situation {
            replicas = List.copyOf(replicas);
        }

        List<ReplicaView> loaded() {
            return replicas.stream().filter(ReplicaView::loaded).toList();
        }
    }
}
