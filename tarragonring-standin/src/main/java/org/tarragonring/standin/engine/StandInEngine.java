package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.CheckpointTier;
import org.tarragonring.upstream.EngineClient;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.EngineStatus;
import org.tarragonring.upstream.OrderOutcome;

/**
 * A stand-in for a model engine: executes orders, accounts for accelerator memory and counts calls, but runs no model.
 *
 * <p>It executes every load order for which the accelerator has enough memory and does not check whether the model's
 * record contains that replica; tests compare the loaded replicas with the records themselves.
 *
 * @since 0.1.0
 */
public final class StandInEngine implements EngineClient {

    private static final double BYTES_PER_GIB = 1L << 30;
    private static final int MAX_MEMORY_TIER_MODELS = 4;

    private final EngineProfile profile;
    private final WeightStore weights;
    private final WeightStore adapterWeights;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Map<SlotId, ResidentModel> residents = new LinkedHashMap<>();
    private final Map<String, CheckpointTier> tiers = new HashMap<>();
    private final List<String> recentlyLoaded = new ArrayList<>();
    private int incarnation = 1;
    private long highestFence;
    private boolean leaving;
    private int startedLoads;
    private int completedUnloads;
    private Consumer<String> overcommitListener = message -> {};

    /**
     * Creates an engine without loaded models.
     *
     * @param profile the memory size, order checks and timings, not null
     * @param weights the weight store for models, not null
     * @param adapterWeights the weight store for adapters, not null
     * @param timers schedules the completion of loads, not null
     * @param clock measures idle times, not null
     */
    public StandInEngine(
            EngineProfile profile,
            WeightStore weights,
            WeightStore adapterWeights,
            Timers timers,
            MonotonicClock clock) {
        this.profile = Objects.requireNonNull(profile, "profile");
        this.weights = Objects.requireNonNull(weights, "weights");
        this.adapterWeights = Objects.requireNonNull(adapterWeights, "adapterWeights");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Uni<EngineStatus> status() {
        return Uni.createFrom().item(this::currentStatus);
    }

    @Override
    public Uni<OrderOutcome> order(EngineOrder order) {
        return Uni.createFrom().emitter(emitter -> execute(order, emitter::complete));
    }

    /**
     * Executes an order.
     *
     * @param order the order, not null
     * @param onOutcome receives the outcome, before this method returns or, if an adapter load succeeds, once the
     *     adapter is loaded; not null
     */
    public void execute(EngineOrder order, Consumer<OrderOutcome> onOutcome) {
        if (order.kind() == EngineOrder.Kind.LOAD_ADAPTER) {
            loadAdapter(order, onOutcome);
        } else {
            onOutcome.accept(executeModelOrder(order));
        }
    }

    /**
     * Begins a call.
     *
     * @param slot the slot of the replica, not null
     * @param adapter the name of the adapter, null to use the model without an adapter
     * @return false if the replica or adapter is not loaded, the replica is being unloaded or the engine is leaving
     */
    public synchronized boolean beginCall(SlotId slot, String adapter) {
        ResidentModel resident = residents.get(slot);
        boolean ready = resident != null && resident.loaded && !resident.unloading;
        if (!ready || leaving || adapter != null && !resident.adapters.contains(adapter)) {
            return false;
        }
        resident.inFlight++;
        return true;
    }

    /**
     * Ends a call. Has no effect if the slot is empty, for example after a restart.
     *
     * @param slot the slot of the replica, not null
     */
    public synchronized void endCall(SlotId slot) {
        ResidentModel resident = residents.get(slot);
        if (resident == null) {
            return;
        }
        resident.inFlight--;
        resident.idleSinceMillis = clock.millis();
        if (resident.unloading && resident.inFlight == 0) {
            removeResident(slot);
        }
    }

    /** Restarts the engine without loaded models and with a new incarnation. */
    public synchronized void restart() {
        incarnation++;
        highestFence = 0;
        residents.clear();
    }

    /**
     * Sets whether the engine is leaving. A leaving engine refuses new loads and calls.
     *
     * @param isLeaving whether the engine is leaving
     */
    public synchronized void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /**
     * Sets where a model's checkpoint is cached.
     *
     * @param model the model, not null
     * @param tier the storage tier, not null
     */
    public synchronized void setCheckpointTier(ModelName model, CheckpointTier tier) {
        tiers.put(model.value(), tier);
    }

    /**
     * Sets the listener for load orders that need more accelerator memory than is free.
     *
     * @param listener receives a message that describes the refused load, not null
     */
    public synchronized void setOvercommitListener(Consumer<String> listener) {
        overcommitListener = listener;
    }

    /**
     * Returns the slots that hold a model.
     *
     * @param model the model, not null
     * @return the slots, including those being loaded and without those being unloaded; never null
     */
    public synchronized List<SlotId> slotsOf(ModelName model) {
        return residents.entrySet().stream()
                .filter(e -> e.getValue().order.model().equals(model) && !e.getValue().unloading)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the number of model loads that this engine has started.
     *
     * @return the number, 0 or more
     */
    public synchronized int startedLoads() {
        return startedLoads;
    }

    /**
     * Returns the number of models that this engine has unloaded.
     *
     * @return the number, 0 or more
     */
    public synchronized int completedUnloads() {
        return completedUnloads;
    }

    /**
     * Returns the number of calls in flight on all replicas.
     *
     * @return the number
     */
    public synchronized int callsInFlight() {
        return residents.values().stream().mapToInt(r -> r.inFlight).sum();
    }

    /**
     * Returns the accelerator memory used by loaded models that run no call.
     *
     * @return the memory, in bytes
     */
    public synchronized long idleBytes() {
        return residents.values().stream()
                .filter(r -> r.loaded && r.inFlight == 0)
                .mapToLong(r -> r.order.bytes())
                .sum();
    }

    /**
     * Returns the engine's memory size, order checks and timings.
     *
     * @return the profile, never null
     */
    public EngineProfile profile() {
        return profile;
    }

    private synchronized EngineStatus currentStatus() {
        List<EngineStatus.Resident> reported = new ArrayList<>();
        residents.forEach((slot, resident) -> reported.add(new EngineStatus.Resident(
                slot,
                resident.order.model(),
                resident.order.version(),
                resident.order.bytes(),
                resident.loaded,
                resident.inFlight,
                resident.inFlight > 0 ? 0 : clock.millis() - resident.idleSinceMillis)));
        return new EngineStatus(
                "incarnation-" + incarnation,
                profile.acceleratorBytes(),
                profile.honoursFence(),
                reported,
                tiers,
                callsInFlight(),
                leaving);
    }

    private synchronized OrderOutcome executeModelOrder(EngineOrder order) {
        if (profile.honoursFence() && order.fence() < highestFence) {
            return OrderOutcome.STALE_FENCE;
        }
        highestFence = Math.max(highestFence, order.fence());
        return order.kind() == EngineOrder.Kind.LOAD ? load(order) : unload(order);
    }

    private OrderOutcome load(EngineOrder order) {
        if (residents.containsKey(order.slot())) {
            return OrderOutcome.ACCEPTED;
        }
        if (leaving) {
            return OrderOutcome.REFUSED;
        }
        long usedBytes =
                residents.values().stream().mapToLong(r -> r.order.bytes()).sum();
        if (usedBytes + order.bytes() > profile.acceleratorBytes()) {
            overcommitListener.accept("load of slot %s needs %d bytes, but %d of %d bytes are in use"
                    .formatted(order.slot(), order.bytes(), usedBytes, profile.acceleratorBytes()));
            return OrderOutcome.NO_MEMORY;
        }
        startedLoads++;
        ResidentModel resident = new ResidentModel(order, clock.millis());
        residents.put(order.slot(), resident);
        int loadIncarnation = incarnation;
        Runnable onComplete = () -> onLoaded(order.slot(), resident, loadIncarnation);
        CheckpointTier tier = tiers.getOrDefault(order.model().value(), CheckpointTier.REMOTE);
        switch (tier) {
            case MEMORY -> timers.schedule(loadTime(profile.memoryLoadTimePerGib(), order.bytes()), onComplete);
            case DISK -> timers.schedule(loadTime(profile.diskLoadTimePerGib(), order.bytes()), onComplete);
            default -> weights.transfer(loadTime(profile.remoteLoadTimePerGib(), order.bytes()), onComplete);
        }
        return OrderOutcome.ACCEPTED;
    }

    private synchronized void onLoaded(SlotId slot, ResidentModel resident, int loadIncarnation) {
        if (loadIncarnation != incarnation || residents.get(slot) != resident) {
            return;
        }
        resident.loaded = true;
        resident.idleSinceMillis = clock.millis();
        if (resident.unloading) {
            removeResident(slot);
        }
        String model = resident.order.model().value();
        recentlyLoaded.remove(model);
        recentlyLoaded.add(model);
        tiers.put(model, CheckpointTier.MEMORY);
        if (recentlyLoaded.size() > MAX_MEMORY_TIER_MODELS) {
            tiers.put(recentlyLoaded.remove(0), CheckpointTier.DISK);
        }
    }

    private OrderOutcome unload(EngineOrder order) {
        ResidentModel resident = residents.get(order.slot());
        if (resident != null) {
            resident.unloading = true;
            if (resident.inFlight == 0) {
                removeResident(order.slot());
            }
        }
        return OrderOutcome.ACCEPTED;
    }

    private void removeResident(SlotId slot) {
        residents.remove(slot);
        completedUnloads++;
    }

    private void loadAdapter(EngineOrder order, Consumer<OrderOutcome> onOutcome) {
        Optional<ResidentModel> replica;
        synchronized (this) {
            replica = Optional.ofNullable(residents.get(order.slot())).filter(r -> r.loaded);
        }
        if (replica.isEmpty()) {
            onOutcome.accept(OrderOutcome.REFUSED);
            return;
        }
        adapterWeights.transfer(profile.adapterLoadTime(), () -> {
            synchronized (this) {
                replica.get().adapters.add(order.model().value());
            }
            onOutcome.accept(OrderOutcome.ACCEPTED);
        });
    }

    private static Duration loadTime(Duration perGib, long bytes) {
        return Duration.ofNanos((long) (perGib.toNanos() * (bytes / BYTES_PER_GIB)));
    }

    private static final class ResidentModel {

        private final EngineOrder order;
        private final Set<String> adapters = new HashSet<>();
        private boolean loaded;
        private boolean unloading;
        private int inFlight;
        private long idleSinceMillis;

        private ResidentModel(EngineOrder order, long idleSinceMillis) {
            this.order = order;
            this.idleSinceMillis = idleSinceMillis;
        }
    }
}
