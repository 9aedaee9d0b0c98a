package org.tarragonring.policy.replica;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.CheckpointTier;

/**
 * The state of a replica, merged from the replica list, the replica's reports and the notices of the entry that holds
 * its order lease.
 *
 * <p>Reports and notices are ordered by the number of accepted orders. The replica list lags and does not contain that
 * number, so its resident models are used only if there was no update about the replica's orders for
 * {@value #MAX_LIST_LAG_MILLIS} ms.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaState {

    /** The maximum age of a registration: a heartbeat interval, its publication and the interval of list polls. */
    public static final long MAX_LIST_LAG_MILLIS = 3_500;

    /** How long a load may be overdue without an update before its lease holder, which polls it, is considered gone. */
    public static final long MAX_LOAD_OVERDUE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final ReplicaAvailability availability;
    private ListedReplica listed;
    private ReplicaProcess process;
    private long acceptedOrders = Holdings.UNKNOWN_ORDER_COUNT;
    private long lastOrderUpdateMillis;
    private final Map<ModelName, Set<String>> residents = new HashMap<>();
    private final Map<ModelName, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> unavailableUntilMillis = new HashMap<>();
    private Set<ModelName> placed = Set.of();
    private Set<ModelName> inMemory = Set.of();
    private Set<ModelName> onDisk = Set.of();
    private Optional<ModelName> loading = Optional.empty();
    private Optional<ModelName> unloading = Optional.empty();
    private long expectedLoadEndMillis;
    private int totalInFlight;

    /**
     * Creates the state of a newly listed replica.
     *
     * @param listed the registration, not null
     * @param clock the monotonic clock, not null
     */
    public ReplicaState(ListedReplica listed, MonotonicClock clock) {
        this(listed, new ReplicaAvailability(clock), clock);
    }

    /**
     * Creates the state of a replica that was listed before.
     *
     * @param listed the registration, not null
     * @param availability what is known of the replica's availability, not null
     * @param clock the monotonic clock, not null
     */
    public ReplicaState(ListedReplica listed, ReplicaAvailability availability, MonotonicClock clock) {
        this.listed = Objects.requireNonNull(listed, "listed");
        this.availability = Objects.requireNonNull(availability, "availability");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.lastOrderUpdateMillis = clock.millis() - MAX_LIST_LAG_MILLIS;
        restart(listed.process(), listed.holdings());
        availability.onListed(listed);
    }

    /**
     * Applies a registration of the replica. Ignores its resident models if they may be older than the known ones.
     *
     * @param update the newer registration, not null
     * @param trustResidents whether its resident models may be used; false if this entry sends the orders to the
     *     replica, since the list may lag by many seconds while the store has problems. A restart of the replica is
     *     applied anyway
     */
    public void onListed(ListedReplica update, boolean trustResidents) {
        listed = update;
        Holdings holdings = update.holdings();
        ReplicaProcess listedProcess = update.process();
        availability.onListed(update);
        if (listedProcess.isNewerThan(process)) {
            restart(listedProcess, holdings);
            return;
        }
        if (!listedProcess.isSameAs(process)) {
            return;
        }
        process = process.mergedWith(listedProcess);
        if (trustResidents) {
            mergeHoldings(holdings);
        } else {
            inMemory = holdings.inMemory();
            onDisk = holdings.onDisk();
        }
    }

    /**
     * Merges a report of the replica that may have been created while an order was in progress. If its order count is
     * higher than the known one, its resident models replace the known ones; if lower, they are ignored. If the count
     * is equal, the report only adds models, since a model missing in it may have finished loading after the report
     * was created.
     *
     * <p>A report does not tell the version of the replica's software, which is then unknown if the process is new.
     *
     * @param holdings the reported holdings, not null; ignored if they are from an earlier process of the replica
     */
    public void mergeHoldings(Holdings holdings) {
        if (holdings.processStartMillis() < process.startMillis()) {
            return;
        }
        if (holdings.processStartMillis() > process.startMillis()) {
            restart(reportingProcess(holdings), holdings);
            return;
        }
        inMemory = holdings.inMemory();
        onDisk = holdings.onDisk();
        if (holdings.acceptedOrders() == Holdings.UNKNOWN_ORDER_COUNT) {
            mergeListedResidents(holdings.residents());
        } else if (holdings.acceptedOrders() > acceptedOrders) {
            acceptedOrders = holdings.acceptedOrders();
            unloading = Optional.empty();
            lastOrderUpdateMillis = clock.millis();
            replaceResidents(holdings.residents());
        } else if (holdings.acceptedOrders() == acceptedOrders) {
            lastOrderUpdateMillis = clock.millis();
            addResidents(holdings.residents());
        }
    }

    /**
     * Replaces the known holdings by those of a report for which the caller knows of no order in progress, so that a
     * model missing in it is not resident.
     *
     * @param holdings the reported holdings, not null; ignored if they have an earlier process start or fewer orders
     */
    public void replaceHoldings(Holdings holdings) {
        if (holdings.processStartMillis() > process.startMillis()) {
            restart(reportingProcess(holdings), holdings);
        } else if (holdings.processStartMillis() == process.startMillis()
                && holdings.acceptedOrders() >= acceptedOrders) {
            inMemory = holdings.inMemory();
            onDisk = holdings.onDisk();
            acceptedOrders = holdings.acceptedOrders();
            lastOrderUpdateMillis = clock.millis();
            unloading = Optional.empty();
            loading = Optional.empty();
            replaceResidents(holdings.residents());
        }
    }

    /** Marks the number of accepted orders as unknown, so that the next report is applied whatever its number is. */
    public void invalidateOrderCount() {
        acceptedOrders = Holdings.UNKNOWN_ORDER_COUNT;
    }

    /**
     * Records that the replica accepted an order to unload a model. Its reports may still list the model until the
     * running calls have ended.
     *
     * @param model the model, not null
     */
    public void onUnloadAccepted(ModelName model) {
        unloading = Optional.of(model);
        residents.remove(model);
    }

    /**
     * Applies the state that follows from the orders of the lease holder. Ignores it if it has an earlier process
     * start or fewer orders than the known state.
     *
     * @param newProcess the process of the replica, not null
     * @param newAcceptedOrders the number of orders that the replica has accepted
     * @param newResidents the models that the replica can run, with their adapters; not null
     * @param newLoading the model that the replica is loading, empty if there is none; not null
     * @param newExpectedLoadEndMillis the expected end of the load, in milliseconds of the monotonic clock
     */
    public void onOrderState(
            ReplicaProcess newProcess,
            long newAcceptedOrders,
            Map<ModelName, Set<String>> newResidents,
            Optional<ModelName> newLoading,
            long newExpectedLoadEndMillis) {
        boolean isSameProcess = newProcess.isSameAs(process);
        if (process.isNewerThan(newProcess) || isSameProcess && newAcceptedOrders < acceptedOrders) {
            return;
        }
        if (newAcceptedOrders > acceptedOrders || !isSameProcess) {
            unavailableUntilMillis.clear();
        }
        if (!isSameProcess) {
            availability.onProcess(newProcess);
        }
        process = isSameProcess ? process.mergedWith(newProcess) : newProcess;
        acceptedOrders = newAcceptedOrders;
        unloading =
                unloading.filter(model -> !newLoading.equals(Optional.of(model)) && !newResidents.containsKey(model));
        lastOrderUpdateMillis = clock.millis();
        residents.clear();
        newResidents.forEach(this::addResident);
        loading = newLoading;
        expectedLoadEndMillis = newExpectedLoadEndMillis;
    }

    /**
     * Marks a model or adapter as temporarily unavailable, because the replica rejected a call for it or because its
     * load has not completed. It still counts as resident for further orders.
     *
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @param durationMillis how long it counts as unavailable
     */
    public void markUnavailable(ModelName model, String adapter, long durationMillis) {
        unavailableUntilMillis.put(model + "/" + adapter, clock.millis() + durationMillis);
    }

    /**
     * Checks if the replica can run a model or adapter now.
     *
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @return true if it is resident and not marked as unavailable
     */
    public boolean canRun(ModelName model, String adapter) {
        return holds(model, adapter) && !isUnavailable(model + "/" + adapter);
    }

    /**
     * Checks if a model or adapter is resident, also if it is temporarily unavailable.
     *
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @return true if it is resident
     */
    public boolean holds(ModelName model, String adapter) {
        Set<String> adapters = residents.get(model);
        return adapters != null && (adapter.isEmpty() || adapters.contains(adapter));
    }

    /**
     * Adds a call to the calls in flight.
     *
     * @param model the requested model, null for a service without models
     */
    public void callStarted(ModelName model) {
        totalInFlight++;
        if (model != null) {
            inFlight.merge(model, 1, Integer::sum);
        }
    }

    /**
     * Removes a call from the calls in flight.
     *
     * @param model the requested model, null for a service without models
     */
    public void callEnded(ModelName model) {
        totalInFlight--;
        if (model != null) {
            inFlight.computeIfPresent(model, (key, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Returns the identifier of the replica.
     *
     * @return the identifier, never null
     */
    public UpstreamId id() {
        return listed.id();
    }

    /**
     * Returns whether the replica wants new calls.
     *
     * @return the availability, never null
     */
    public ReplicaAvailability availability() {
        return availability;
    }

    /**
     * Returns the latest registration of the replica.
     *
     * @return the registration, never null
     */
    public ListedReplica listed() {
        return listed;
    }

    /**
     * Returns the resident models.
     *
     * @return the models with their resident adapters, never null
     */
    public Map<ModelName, Set<String>> residents() {
        return Map.copyOf(residents);
    }

    /**
     * Checks if a model was resident when this process of the replica became known.
     *
     * @param model the model, not null
     * @return true if it was, also if it has been evicted since
     */
    public boolean isPlaced(ModelName model) {
        return placed.contains(model);
    }

    /**
     * Returns the fastest storage tier from which the replica can load a model.
     *
     * @param model the model, not null
     * @return the tier, {@link CheckpointTier#REMOTE} if the replica has no local checkpoint; never null
     */
    public CheckpointTier nearestTier(ModelName model) {
        if (inMemory.contains(model)) {
            return CheckpointTier.MEMORY;
        }
        return onDisk.contains(model) ? CheckpointTier.DISK : CheckpointTier.REMOTE;
    }

    /**
     * Returns the models whose checkpoint the replica has on disk or in main memory.
     *
     * @return a new set, never null
     */
    public Set<ModelName> localCheckpoints() {
        Set<ModelName> checkpoints = new HashSet<>(inMemory);
        checkpoints.addAll(onDisk);
        return checkpoints;
    }

    /**
     * Returns the model that the replica is loading.
     *
     * @return the model, or empty if there is none or if the load is overdue and there was no update about it for too
     *     long
     */
    public Optional<ModelName> loading() {
        return isLoadOutcomeUnknown() ? Optional.empty() : loading;
    }

    /**
     * Checks if a load is overdue and there was no update about it for too long. The replica may hold the model or not.
     *
     * @return true until an update of the replica's orders arrives
     */
    public boolean isLoadOutcomeUnknown() {
        return loading.isPresent()
                && clock.millis() - expectedLoadEndMillis > MAX_LOAD_OVERDUE_MILLIS
                && clock.millis() - lastOrderUpdateMillis > MAX_LIST_LAG_MILLIS;
    }

    /**
     * Returns the expected end of the load in progress.
     *
     * @return milliseconds of the monotonic clock
     */
    public long expectedLoadEndMillis() {
        return expectedLoadEndMillis;
    }

    /**
     * Returns the number of calls that this entry has in flight at the replica.
     *
     * @return the number of calls
     */
    public int inFlight() {
        return totalInFlight;
    }

    /**
     * Returns the number of calls for a model that this entry has in flight at the replica.
     *
     * @param model the model, not null
     * @return the number of calls
     */
    public int inFlight(ModelName model) {
        return inFlight.getOrDefault(model, 0);
    }

    /**
     * Returns the number of calls that this entry has in flight at the replica, by model.
     *
     * @return the number of calls for each model that has any, never null
     */
    public Map<ModelName, Integer> inFlightByModel() {
        return Map.copyOf(inFlight);
    }

    /**
     * Returns the newest process of the replica that any source has told of.
     *
     * @return the process, never null; its software is unknown if only sources that do not tell it know the process
     */
    public ReplicaProcess process() {
        return process;
    }

    /**
     * Returns the number of orders that the replica has accepted since its process started.
     *
     * @return the number of orders, {@link Holdings#UNKNOWN_ORDER_COUNT} if it is not known
     */
    public long acceptedOrders() {
        return acceptedOrders;
    }

    /**
     * Returns the time of the latest update about the replica's orders, from the lease holder or the replica itself.
     *
     * @return milliseconds of the monotonic clock
     */
    public long lastOrderUpdateMillis() {
        return lastOrderUpdateMillis;
    }

    private ReplicaProcess reportingProcess(Holdings holdings) {
        return new ReplicaProcess(id(), holdings.processStartMillis(), Optional.empty());
    }

    private void restart(ReplicaProcess newProcess, Holdings holdings) {
        process = newProcess;
        availability.onProcess(newProcess);
        acceptedOrders = holdings.acceptedOrders();
        unavailableUntilMillis.clear();
        residents.clear();
        holdings.residents().forEach(this::addResident);
        placed = Set.copyOf(holdings.residents().keySet());
        inMemory = holdings.inMemory();
        onDisk = holdings.onDisk();
        loading = Optional.empty();
        unloading = Optional.empty();
    }

    private void mergeListedResidents(Map<ModelName, Set<String>> newResidents) {
        if (clock.millis() - lastOrderUpdateMillis < MAX_LIST_LAG_MILLIS) {
            completeOverdueLoad(newResidents);
            return;
        }
        if (loading.isPresent()) {
            addResidents(newResidents);
        } else {
            replaceResidents(newResidents);
        }
    }

    /**
     * Completes an overdue load if the list shows its model as resident. The lease holder is then considered gone,
     * since a live one would have announced the completion.
     */
    private void completeOverdueLoad(Map<ModelName, Set<String>> newResidents) {
        if (loading.isPresent() && clock.millis() - expectedLoadEndMillis >= MAX_LOAD_OVERDUE_MILLIS) {
            ModelName model = loading.get();
            Set<String> adapters = newResidents.get(model);
            if (adapters != null) {
                addResidents(Map.of(model, adapters));
            }
        }
    }

    /**
     * Adds models whose load has completed. Does not change the adapters of known models, since a lagging report may
     * still list an adapter that was unloaded.
     */
    private void addResidents(Map<ModelName, Set<String>> newResidents) {
        newResidents.forEach((model, adapters) -> {
            if (!unloading.equals(Optional.of(model)) && !residents.containsKey(model)) {
                addResident(model, adapters);
            }
        });
        loading = loading.filter(model -> !residents.containsKey(model));
    }

    private void replaceResidents(Map<ModelName, Set<String>> newResidents) {
        residents.clear();
        newResidents.forEach(this::addResident);
        loading = loading.filter(model -> !residents.containsKey(model));
    }

    private void addResident(ModelName model, Set<String> adapters) {
        residents.computeIfAbsent(model, name -> new HashSet<>()).addAll(adapters);
    }

    private boolean isUnavailable(String key) {
        unavailableUntilMillis.values().removeIf(untilMillis -> clock.millis() >= untilMillis);
        return unavailableUntilMillis.containsKey(key);
    }
}
