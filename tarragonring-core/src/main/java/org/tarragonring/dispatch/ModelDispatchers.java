package org.tarragonring.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.ModelName;

/**
 * Holds the dispatchers of an entry, one for each model. Each dispatcher has its own lock.
 *
 * @since 0.1.0
 */
public final class ModelDispatchers {

    private final DispatchContext context;
    private final Map<ModelName, ModelDispatcher> byModel = new ConcurrentHashMap<>();

    /**
     * Creates a collection without dispatchers.
     *
     * @param context the dependencies of dispatchers, not null
     */
    public ModelDispatchers(DispatchContext context) {
        this.context = context;
    }

    /**
     * Returns the dispatcher of a model and creates it if it does not exist.
     *
     * @param model the model, not null
     * @return the dispatcher, never null
     */
    public ModelDispatcher getOrCreate(ModelName model) {
        return byModel.computeIfAbsent(model, ModelDispatcher.factory(context));
    }

    /**
     * Finds the dispatcher of a model without creating it.
     *
     * @param model the model, not null
     * @return the dispatcher, or empty if this entry has received no call for the model
     */
    public Optional<ModelDispatcher> find(ModelName model) {
        return Optional.ofNullable(byModel.get(model));
    }

    /** Runs the periodic work of every dispatcher. */
    public void tick() {
        byModel.values().forEach(ModelDispatcher::tick);
    }

    /**
     * Returns the states of all dispatchers.
     *
     * @return the states, in the natural order of the model names
     */
    public List<ModelDispatcher.DispatcherState> states() {
        return byModel.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().state())
                .toList();
    }
}
