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
        Map<ModelName, Integer> running,
        Optional<ModelName> underWay,
        long freeInMillis,
        boolean orderable) {

    /** Checks the arguments and copies the map. */
    public ReplicaView {
        Objects.requireNonNull(state, "state");
        running = Map.copyOf(running);
        Objects.requireNonNull(underWay, "underWay");
    }

    int running(ModelName model) {
        return running.getOrDefault(model, 0);
    }

    boolean isFree() {
        return orderable && underWay.isEmpty();
    }
}
