package org.tarragonring.gateway.orders;

import java.util.Map;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;

/** Compares what a replica holds and loads with what it can hold. A replica that is ordered to load more crashes. */
final class ReplicaCapacity {

    private ReplicaCapacity() {}

    /** Returns whether the replica can hold one more adapter beside those that it holds and those on their way to it. */
    static boolean hasFreeAdapterPlace(ReplicaState replica, EngineSpec engine) {
        int adapters = replica.residents().values().stream().mapToInt(Set::size).sum();
        return adapters < engine.maxAdapters();
    }

    /** Returns whether the memory, which models and adapters share, has room for one more adapter of a model. */
    static boolean hasRoomForAdapter(ReplicaState replica, ModelName model, EngineSpec engine) {
        double usedMegabytes = modelMegabytes(replica, engine);
        for (Map.Entry<ModelName, Set<String>> resident : replica.residents().entrySet()) {
            usedMegabytes += resident.getValue().size() * adapterMegabytes(resident.getKey(), engine);
        }
        return usedMegabytes + adapterMegabytes(model, engine) <= engine.memoryMegabytes();
    }

    /** Returns whether the memory has room for one more model, and for all the adapters that may be loaded beside. */
    static boolean hasRoomForModel(ReplicaState replica, ModelName model, EngineSpec engine) {
        ModelSpec spec = engine.models().get(model);
        return spec != null
                && modelMegabytes(replica, engine) + spec.weightsMegabytes() <= engine.modelMemoryMegabytes();
    }

    private static double modelMegabytes(ReplicaState replica, EngineSpec engine) {
        double megabytes =
                replica.loading().map(model -> weightsMegabytes(model, engine)).orElse(0.0);
        for (ModelName resident : replica.residents().keySet()) {
            megabytes += weightsMegabytes(resident, engine);
        }
        return megabytes;
    }

    private static double adapterMegabytes(ModelName model, EngineSpec engine) {
        ModelSpec spec = engine.models().get(model);
        return spec == null ? 0 : spec.adapterMegabytes();
    }

    /** Returns the size of a model; one that the configuration no longer has may take up the whole memory. */
    private static double weightsMegabytes(ModelName model, EngineSpec engine) {
        ModelSpec spec = engine.models().get(model);
        return spec == null ? engine.memoryMegabytes() : spec.weightsMegabytes();
    }
}
