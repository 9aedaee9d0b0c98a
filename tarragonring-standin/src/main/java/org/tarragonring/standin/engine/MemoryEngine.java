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
 * A model engine without a model: takes orders, holds residents in accelerator memory and counts calls.
 *
 * <p>It takes every load order for which it has memory, without asking whether the load was decided; an observer
 * checks that from outside.
 *
 * @since 0.1.0
 */
public final class MemoryEngine implements EngineClient {

    private static final double GIB = 1L << 30;
    private static final int MEMORY_TIER_MODELS = 4;

    private final EngineProfile profile;
    private final WeightStore weights;
    private final WeightStore adapterWeights;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Map<SlotId, Held> residents = new LinkedHashMap<>();
    private final Map<String, CheckpointTier> tiers = new HashMap<>();
    private final List<String> recent = new ArrayList<>();
    private int incarnation = 1;
    private long highestFence;
    private boolean leaving;
    private int loads;
    private int unloads;
    private Consumer<String> breaches = breach -> {};

    /**
     * Creates an empty engine.
     *
     * @param profile how it behaves, not null
     * @param weights the weight store for models, not null
     * @param adapterWeights the weight store for adapters, not null
     * @param timers moves loads on, not null
     * @param clock the monotonic clock, not null
     */
    public MemoryEngine(
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
        return Uni.createFrom().item(this::report);
    }

    @Override
    public Uni<OrderOutcome> order(EngineOrder order) {
        return Uni.createFrom().emitter(emitter -> take(order, emitter::complete));
    }

    /**
     * Takes an order.
     *
     * @param order the order, not null
     * @param answer takes the outcome, at once but for adapters; not null
     */
    public void take(EngineOrder order, Consumer<OrderOutcome> answer) {
        if (order.kind() == EngineOrder.Kind.LOAD_ADAPTER) {
            loadAdapter(order, answer);
        } else {
            answer.accept(takeModelOrder(order));
        }
    }

    /**
     * Begins a call.
     *
     * @param slot the replica, not null
     * @param adapter the adapter, null for the bare model
     * @return false if the replica or adapter is not loaded or is being unloaded
     */
    public synchronized boolean beginCall(SlotId slot, String adapter) {
        Held held = residents.get(slot);
        boolean ready = held != null && held.loaded && !held.unloading;
        if (!ready || leaving || adapter != null && !held.adapters.contains(adapter)) {
            return false;
        }
        held.inFlight++;
        return true;
    }

    /**
     * Ends a call.
     *
     * @param slot the replica, not null
     */
    public synchronized void endCall(SlotId slot) {
        Held held = residents.get(slot);
        if (held == null) {
            return;
        }
        held.inFlight--;
        held.idleSinceMillis = clock.millis();
        if (held.unloading && held.inFlight == 0) {
            drop(slot);
        }
    }

    /** Restarts the engine empty under the same name. */
    public synchronized void restart() {
        incarnation++;
        highestFence = 0;
        residents.clear();
    }

    /**
     * Marks the engine as leaving.
     *
     * @param isLeaving whether it refuses new work
     */
    public synchronized void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /**
     * Says where a checkpoint is.
     *
     * @param model the model, not null
     * @param tier where it is, not null
     */
    public synchronized void setTier(ModelName model, CheckpointTier tier) {
        tiers.put(model.value(), tier);
    }

    /**
     * Sets who is told when the accelerator is asked for more memory than it has.
     *
     * @param listener takes the breach's text, not null
     */
    public synchronized void onOvercommit(Consumer<String> listener) {
        breaches = listener;
    }

    /**
     * Returns what the accelerator holds of a model.
     *
     * @param model the model, not null
     * @return its slots, loads in progress included, unloads in progress not
     */
    public synchronized List<SlotId> slotsOf(ModelName model) {
        return residents.entrySet().stream()
                .filter(e -> e.getValue().order.model().equals(model) && !e.getValue().unloading)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the loads begun so far.
     *
     * @return a count
     */
    public synchronized int loads() {
        return loads;
    }

    /**
     * Returns the unloads done so far.
     *
     * @return a count
     */
    public synchronized int unloads() {
        return unloads;
    }

    /**
     * Returns how busy the replicas are.
     *
     * @return the calls in flight
     */
    public synchronized int inFlight() {
        return residents.values().stream().mapToInt(h -> h.inFlight).sum();
    }

    /**
     * Returns the memory of models that are loaded and run no call.
     *
     * @return bytes
     */
    public synchronized long idleBytes() {
        return residents.values().stream()
                .filter(h -> h.loaded && h.inFlight == 0)
                .mapToLong(h -> h.order.bytes())
                .sum();
    }

    /**
     * Returns how the engine behaves.
     *
     * @return the profile, never null
     */
    public EngineProfile profile() {
        return profile;
    }

    private synchronized EngineStatus report() {
        List<EngineStatus.Resident> reported = new ArrayList<>();
        residents.forEach((slot, held) -> reported.add(new EngineStatus.Resident(
                slot,
                held.order.model(),
                held.order.version(),
                held.order.bytes(),
                held.loaded,
                held.inFlight,
                held.inFlight > 0 ? 0 : clock.millis() - held.idleSinceMillis)));
        return new EngineStatus(
                "incarnation-" + incarnation,
                profile.acceleratorBytes(),
                profile.honoursFence(),
                reported,
                tiers,
                inFlight(),
                leaving);
    }

    private synchronized OrderOutcome takeModelOrder(EngineOrder order) {
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
                residents.values().stream().mapToLong(h -> h.order.bytes()).sum();
        if (usedBytes + order.bytes() > profile.acceleratorBytes()) {
            breaches.accept("load of slot %s needs %d bytes, %d of %d are used"
                    .formatted(order.slot(), order.bytes(), usedBytes, profile.acceleratorBytes()));
            return OrderOutcome.NO_MEMORY;
        }
        loads++;
        Held held = new Held(order, clock.millis());
        residents.put(order.slot(), held);
        int startedIn = incarnation;
        Runnable done = () -> onLoaded(order.slot(), held, startedIn);
        CheckpointTier tier = tiers.getOrDefault(order.model().value(), CheckpointTier.REMOTE);
        switch (tier) {
            case MEMORY -> timers.schedule(scaled(profile.memoryLoadPerGib(), order.bytes()), done);
            case DISK -> timers.schedule(scaled(profile.diskLoadPerGib(), order.bytes()), done);
            default -> weights.transfer(scaled(profile.remoteLoadPerGib(), order.bytes()), done);
        }
        return OrderOutcome.ACCEPTED;
    }

    private synchronized void onLoaded(SlotId slot, Held held, int startedIn) {
        if (startedIn != incarnation || residents.get(slot) != held) {
            return;
        }
        held.loaded = true;
        held.idleSinceMillis = clock.millis();
        if (held.unloading) {
            drop(slot);
        }
        String model = held.order.model().value();
        recent.remove(model);
        recent.add(model);
        tiers.put(model, CheckpointTier.MEMORY);
        if (recent.size() > MEMORY_TIER_MODELS) {
            tiers.put(recent.remove(0), CheckpointTier.DISK);
        }
    }

    private OrderOutcome unload(EngineOrder order) {
        Held held = residents.get(order.slot());
        if (held != null) {
            held.unloading = true;
            if (held.inFlight == 0) {
                drop(order.slot());
            }
        }
        return OrderOutcome.ACCEPTED;
    }

    private void drop(SlotId slot) {
        residents.remove(slot);
        unloads++;
    }

    private void loadAdapter(EngineOrder order, Consumer<OrderOutcome> answer) {
        Optional<Held> replica;
        synchronized (this) {
            replica = Optional.ofNullable(residents.get(order.slot())).filter(h -> h.loaded);
        }
        if (replica.isEmpty()) {
            answer.accept(OrderOutcome.REFUSED);
            return;
        }
        adapterWeights.transfer(profile.adapterLoad(), () -> {
            synchronized (this) {
                replica.get().adapters.add(order.model().value());
            }
            answer.accept(OrderOutcome.ACCEPTED);
        });
    }

    private static Duration scaled(Duration perGib, long bytes) {
        return Duration.ofNanos((long) (perGib.toNanos() * (bytes / GIB)));
    }

    private static final class Held {

        private final EngineOrder order;
        private final Set<String> adapters = new HashSet<>();
        private boolean loaded;
        private boolean unloading;
        private int inFlight;
        private long idleSinceMillis;

        private Held(EngineOrder order, long idleSinceMillis) {
            this.order = order;
            this.idleSinceMillis = idleSinceMillis;
        }
    }
}
