package org.tarragonring.policy.placement;

import java.util.List;

import org.tarragonring.ids.ModelName;

/**
 * A way to load a model.
 *
 * @param replica the replica that would load it
 * @param evictions the models to unload first
 * @param durationMillis the duration of the unloads and the load together
 * @param othersCostMillis the cost to the calls of other models, as caller waiting time
 * @param costMillis the total cost, by which options are compared
 */
record LoadOption(
        ReplicaSnapshot replica,
        List<ModelName> evictions,
        long durationMillis,
        double othersCostMillis,
        double costMillis) {

    /** Returns the time until the model is resident. */
    long residentInMillis() {
        return replica.availableInMillis() + durationMillis;
    }
}
