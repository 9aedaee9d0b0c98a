package org.tarragonring.policy.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.tarragonring.ids.ModelName;

/**
 * The soonest expected end of the loads of each model that are in progress or planned.
 *
 * <p>Not thread-safe.
 */
final class ExpectedLoads {

    private final Map<ModelName, Long> endsInMillis = new HashMap<>();

    /**
     * Adds a load of a model. Of several loads of one model, the one that ends first counts.
     *
     * @param model the model, not null
     * @param endsInMillis the time until the model is resident
     */
    void add(ModelName model, long endsInMillis) {
        this.endsInMillis.merge(model, endsInMillis, Math::min);
    }

    /** Returns the models that are expected to be loaded. */
    Set<ModelName> models() {
        return Set.copyOf(endsInMillis.keySet());
    }

    /**
     * Returns by how much a load would end sooner than the best expected one.
     *
     * @param model the model to load, not null
     * @param residentInMillis the time until that load would end
     * @return the time in milliseconds, negative if the expected load ends sooner; {@link Long#MAX_VALUE} if none is
     *     expected
     */
    long savedMillis(ModelName model, long residentInMillis) {
        Long expectedMillis = endsInMillis.get(model);
        return expectedMillis == null ? Long.MAX_VALUE : expectedMillis - residentInMillis;
    }
}
