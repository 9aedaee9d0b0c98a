package org.tarragonring.policy.placement;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.replica.ReplicaState;

/**
 * The planner's view of a replica during one planning pass.
 *
 * @param state the resident models and local checkpoints, not null
 * @param running the calls of all entries that the replica runs, by model; not null
 * @param pendingLoad the model that the replica is loading or that was planned for it, empty if there is none
 * @param availableInMillis the time until the replica can start another load, 0 if it can start one now
 * @param overdue whether the load should have ended; how long it still takes is then not known
 * @param controllable whether loads may be planned for the replica: the holder of its order lease is known, and no
 *     planned load has recently failed to start there
 * @param speed the speed of the replica relative to an ordinary one, positive; 1 if it is not known
 * @since 0.2.0
 */
public record ReplicaSnapshot(
        ReplicaState state,
        Map<ModelName, RunningCalls> running,
        Optional<ModelName> pendingLoad,
        long availableInMillis,
        boolean overdue,
        boolean controllable,
        double speed) {

    /** The speed from which a replica counts as a whole one; measured speeds of equal replicas differ a little. */
    static final double FULL_SPEED = 0.75;

    /** Checks the arguments and copies the map. */
    public ReplicaSnapshot {
        Objects.requireNonNull(state, "state");
        running = Map.copyOf(running);
        Objects.requireNonNull(pendingLoad, "pendingLoad");
        if (!(speed > 0)) {
            throw new IllegalArgumentException("speed is not positive: " + speed);
        }
    }

    /**
     * Creates a snapshot of a replica whose speed is not known.
     *
     * @param state the resident models and local checkpoints, not null
     * @param running the calls of all entries that the replica runs, by model; not null
     * @param pendingLoad the model that the replica is loading or that was planned for it, empty if there is none
     * @param availableInMillis the time until the replica can start another load, 0 if it can start one now
     * @param overdue whether the load should have ended
     * @param controllable whether loads may be planned for the replica
     */
    public ReplicaSnapshot(
            ReplicaState state,
            Map<ModelName, RunningCalls> running,
            Optional<ModelName> pendingLoad,
            long availableInMillis,
            boolean overdue,
            boolean controllable) {
        this(state, running, pendingLoad, availableInMillis, overdue, controllable, 1);
    }

    /** Returns the part of an ordinary replica that this one counts as. */
    double capacity() {
        return speed >= FULL_SPEED ? 1 : speed;
    }

    /** Returns how long an unload of a model waits for the calls that the replica runs, 0 if it runs none. */
    long unloadWaitMillis(ModelName model) {
        RunningCalls calls = running.get(model);
        return calls == null ? 0 : Math.max(0, calls.remainingMillis());
    }

    boolean isAvailable() {
        return controllable && pendingLoad.isEmpty();
    }

    /**
     * The calls of one model that a replica runs.
     *
     * @param count the number of calls
     * @param remainingMillis the expected time until the last of them ends; may be negative if that is overdue
     */
    public record RunningCalls(int count, long remainingMillis) {

        /**
         * Combines these calls with others.
         *
         * @param other the other calls, not null
         * @return the total count with the longer remaining time
         */
        public RunningCalls plus(RunningCalls other) {
            return new RunningCalls(count + other.count, Math.max(remainingMillis, other.remainingMillis));
        }
    }
}
