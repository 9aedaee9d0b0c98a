package org.tarragonring.placement;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.peer.PeerMessage;

/**
 * Holds the models that this entry looks after, each under a lock of its own.
 *
 * @since 0.1.0
 */
public final class ModelHomes {

    private final HomeContext context;
    private final Map<ModelName, ModelHome> byModel = new ConcurrentHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param context what homes work with, not null
     */
    public ModelHomes(HomeContext context) {
        this.context = Objects.requireNonNull(context, "context");
    }

    /**
     * Takes an entry's report about a model.
     *
     * @param from the entry, not null
     * @param demand the report, not null
     */
    public void onDemand(EntryId from, PeerMessage.Demand demand) {
        home(demand.model()).onDemand(from, demand);
    }

    /**
     * Begins to look after a model, as one that must always have replicas.
     *
     * @param model the model, not null
     */
    public void lookAfter(ModelName model) {
        home(model);
    }

    /** Lets every home do what is due, and forgets those that have nothing to look after. */
    public void tick() {
        for (ModelHome home : byModel.values()) {
            home.tick();
        }
        byModel.values().removeIf(home -> !home.isActive());
    }

    /**
     * Describes all homes.
     *
     * @return their states in the order of the models' names
     */
    public List<ModelHome.HomeState> states() {
        return byModel.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().state())
                .toList();
    }

    private ModelHome home(ModelName model) {
        return byModel.computeIfAbsent(model, name -> new ModelHome(name, context));
    }
}
