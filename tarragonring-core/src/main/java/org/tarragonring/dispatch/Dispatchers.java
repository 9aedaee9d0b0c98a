package org.tarragonring.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.ModelName;

/**
 * Holds the dispatchers of an entry, each under a lock of its own.
 *
 * @since 0.1.0
 */
public final class Dispatchers {

    private final DispatchContext context;
    private final Map<ModelName, ModelDispatcher> byModel = new ConcurrentHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param context what dispatchers work with, not null
     */
    public Dispatchers(DispatchContext context) {
        this.context = context;
    }

    /**
     * Returns a model's dispatcher and creates it if there is none.
     *
     * @param model the model, not null
     * @return the dispatcher, never null
     */
    public ModelDispatcher of(ModelName model) {
        return byModel.computeIfAbsent(model, ModelDispatcher.factory(context));
    }

    /**
     * Finds a model's dispatcher.
     *
     * @param model the model, not null
     * @return the dispatcher, or empty if the model was not called here
     */
    public Optional<ModelDispatcher> find(ModelName model) {
        return Optional.ofNullable(byModel.get(model));
    }

    /** Lets every dispatcher do what is due. */
    public void tick() {
        byModel.values().forEach(ModelDispatcher::tick);
    }

    /**
     * Describes all dispatchers.
     *
     * @return their states in the order of the models' names
     */
    public List<ModelDispatcher.DispatcherState> states() {
        return byModel.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().state())
                .toList();
    }
}
