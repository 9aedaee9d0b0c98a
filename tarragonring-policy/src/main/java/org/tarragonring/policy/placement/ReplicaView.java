package org.tarragonring.policy.placement;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.replica.ReplicaState;

/**
 * What the planner sees of a replica.
 *
 * @param state what it holds, not null
 * @param running the calls of all entries that it runs, by model; not null
 * @param underWay the model that it loads or that was decided for it, empty if it is free
 * @param freeInMillis how long until it can carry out another load, 0 if it is free
 * @param orderable whether an entry is known that may order it
 * @since 0.2.0
 */
public record ReplicaView(
        ReplicaState state,
        Map<ModelName, RunningCalls> running,
        Optional<ModelName> underWay,
        long freeInMillis,
        boolean orderable) {

    /** Checks the arguments and copies the map. */
    public ReplicaView {
        Objects.requireNonNull(state, "state");
        running = Map.copyOf(running);
        Objects.requireNonNull(underWay, "underWay");
    }

    /** Returns how long an unload of a model waits for the calls that the replica runs. */
    long residualMillis(ModelName model) {
        RunningCalls calls = running.get(model);
        return calls == null ? 0 : Math.max(0, calls.residualMillis());
    }

    boolean isFree() {
        return orderable && underWay.isEmpty();
    }

    /**
     * The calls of one model that a replica runs.
     *
     * @param count how many
     * @param residualMillis how long the last of them is expected to run on
     */
    public record RunningCalls(int count, long residualMillis) {

        /**
         * Adds calls.
         *
         * @param other other calls, not null
         * @return both together
         */
        public RunningCalls plus(RunningCalls other) {
            return new RunningCalls(count + other.count, Math.max(residualMillis, other.residualMillis));
        }
    }
}
