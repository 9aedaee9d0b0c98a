package org.tarragonring.placement;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.peer.PeerMessage;

/**
 * Holds the coordinators of the models whose home entry is this entry. Each coordinator has its own lock.
 *
 * @since 0.1.0
 */
public final class ModelCoordinators {

    private final CoordinatorContext context;
    private final Map<ModelName, ModelCoordinator> byModel = new ConcurrentHashMap<>();

    /**
     * Creates a collection without coordinators.
     *
     * @param context the dependencies of coordinators, not null
     */
    public ModelCoordinators(CoordinatorContext context) {
        this.context = Objects.requireNonNull(context, "context");
    }

    /**
     * Passes an entry's demand report to the coordinator of its model, which is created if it does not exist.
     *
     * @param from the reporting entry, not null
     * @param demand the demand report, not null
     */
    public void onDemand(EntryId from, PeerMessage.Demand demand) {
        coordinator(demand.model()).onDemand(from, demand);
    }

    /**
     * Creates a model's coordinator if it does not exist, without waiting for a demand report. Used for models with
     * a minimum number of replicas and for models that are found loaded.
     *
     * @param model the model, not null
     */
    public void ensureCoordinator(ModelName model) {
        coordinator(model);
    }

    /** Runs the due work of every coordinator and removes coordinators that are no longer needed. */
    public void tick() {
        for (ModelCoordinator coordinator : byModel.values()) {
            coordinator.tick();
        }
        byModel.values().removeIf(coordinator -> !coordinator.isActive());
    }

    /**
     * Returns the state of every coordinator.
     *
     * @return the states, sorted by model name; empty if there is no coordinator
     */
    public List<ModelCoordinator.CoordinatorState> states() {
        return byModel.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().state())
                .toList();
    }

    private ModelCoordinator coordinator(ModelName model) {
        return byModel.computeIfAbsent(model, name -> new ModelCoordinator(name, context));
    }
}
