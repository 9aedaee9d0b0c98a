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
 * Merges what the list, the replica's reports and the holder of its order lease say of a replica.
 *
 * <p>The number of accepted orders decides which report or notice is newer. The list does not say that number and lags,
 * so what it says of residents counts only when nothing was heard of the replica's orders for a while.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class ReplicaState {

    /** How old an entry of the list may be: a heartbeat, its way into the list and the pause between two looks at it. */
    static final long LIST_LAG_MILLIS = 3_500;

    /** How long a load may be overdue without a word of it: a holder that lives asks the replica many times a second. */
    static final long MAX_OVERDUE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private ListedReplica listed;
    private long bornMillis;
    private long orders = Holdings.UNKNOWN_ORDERS;
    private long ordersHeardMillis;
    private final Map<ModelName, Set<String>> residents = new HashMap<>();
    private final Map<ModelName, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> absentUntilMillis = new HashMap<>();
    private Set<ModelName> inMemory = Set.of();
    private Set<ModelName> onDisk = Set.of();
    private Optional<ModelName> loading = Optional.empty();
    private Optional<ModelName> leaving = Optional.empty();
    private long loadingUntilMillis;
    private int totalInFlight;

    /**
     * Creates the state of a replica that was just listed.
     *
     * @param listed what the list says, not null
     * @param clock the monotonic clock, not null
     */
    public ReplicaState(ListedReplica listed, MonotonicClock clock) {
        this.listed = Objects.requireNonNull(listed, "listed");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.ordersHeardMillis = clock.millis() - LIST_LAG_MILLIS;
        restart(listed.holdings());
    }

    /**
     * Takes what the list says.
     *
     * @param update a newer entry of the list, not null
     * @param residentsCount whether to believe what it says of residents; not where this entry orders the replica, as
     *     the list may be many seconds late while the store is in trouble
     */
    public void onListed(ListedReplica update, boolean residentsCount) {
        listed = update;
        Holdings holdings = update.holdings();
        if (residentsCount || holdings.bornMillis() > bornMillis) {
            onHoldings(holdings);
        } else if (holdings.bornMillis() == bornMillis) {
            inMemory = holdings.inMemory();
            onDisk = holdings.onDisk();
        }
    }

    /**
     * Takes what the replica says of itself.
     *
     * @param holdings what it holds, not null
     */
    public void onHoldings(Holdings holdings) {
        if (holdings.bornMillis() < bornMillis) {
            return;
        }
        if (holdings.bornMillis() > bornMillis) {
            restart(holdings);
            return;
        }
        inMemory = holdings.inMemory();
        onDisk = holdings.onDisk();
        if (holdings.orders() == Holdings.UNKNOWN_ORDERS) {
            onListedResidents(holdings.residents());
        } else if (holdings.orders() > orders) {
            orders = holdings.orders();
            leaving = Optional.empty();
            ordersHeardMillis = clock.millis();
            replaceResidents(holdings.residents());
        } else if (holdings.orders() == orders) {
            ordersHeardMillis = clock.millis();
            addResidents(holdings.residents());
        }
    }

    /**
     * Takes a report by one who knows of no order under way: what it does not name is not there.
     *
     * @param holdings what the replica holds, not null
     */
    public void onReport(Holdings holdings) {
        if (holdings.bornMillis() > bornMillis) {
            restart(holdings);
        } else if (holdings.bornMillis() == bornMillis && holdings.orders() >= orders) {
            inMemory = holdings.inMemory();
            onDisk = holdings.onDisk();
            orders = holdings.orders();
            ordersHeardMillis = clock.millis();
            leaving = Optional.empty();
            loading = Optional.empty();
            replaceResidents(holdings.residents());
        }
    }

    /** Notes that the number of accepted orders may be wrong, so that the next report counts whatever it says. */
    public void forgetOrders() {
        orders = Holdings.UNKNOWN_ORDERS;
    }

    /**
     * Notes that the replica accepted an order to unload a model, which it may still name until its runs have ended.
     *
     * @param model the model, not null
     */
    public void onLeaving(ModelName model) {
        leaving = Optional.of(model);
        residents.remove(model);
    }

    /**
     * Takes what the holder of the order lease says.
     *
     * @param newBornMillis when the replica's process started, in Unix milliseconds
     * @param newOrders the number of orders it has accepted
     * @param newResidents what it can run, not null
     * @param newLoading what it loads, not null
     * @param untilMillis when the load is expected to end, on the monotonic clock
     */
    public void onOrders(
            long newBornMillis,
            long newOrders,
            Map<ModelName, Set<String>> newResidents,
            Optional<ModelName> newLoading,
            long untilMillis) {
        if (newBornMillis < bornMillis || newBornMillis == bornMillis && newOrders < orders) {
            return;
        }
        if (newOrders > orders || newBornMillis > bornMillis) {
            absentUntilMillis.clear();
        }
        bornMillis = newBornMillis;
        orders = newOrders;
        leaving = leaving.filter(model -> !newLoading.equals(Optional.of(model)) && !newResidents.containsKey(model));
        ordersHeardMillis = clock.millis();
        residents.clear();
        newResidents.forEach(this::addResident);
        loading = newLoading;
        loadingUntilMillis = untilMillis;
    }

    /**
     * Notes that the replica cannot run something yet, as it said or as its load takes a moment. What orders rest on
     * stays as it is.
     *
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @param forMillis how long to believe that
     */
    public void onAbsent(ModelName model, String adapter, long forMillis) {
        absentUntilMillis.put(model + "/" + adapter, clock.millis() + forMillis);
    }

    /**
     * Checks if the replica can run a model now.
     *
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @return true if it is resident and the replica did not just say otherwise
     */
    public boolean canRun(ModelName model, String adapter) {
        return holds(model, adapter) && !isAbsent(model + "/" + adapter);
    }

    /**
     * Checks if a model or adapter is resident by the orders that the replica accepted.
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
     * Counts a call that was sent to the replica.
     *
     * @param model the model it needs, null for plain services
     */
    public void callStarted(ModelName model) {
        totalInFlight++;
        if (model != null) {
            inFlight.merge(model, 1, Integer::sum);
        }
    }

    /**
     * Uncounts a call that ended.
     *
     * @param model the model it needed, null for plain services
     */
    public void callEnded(ModelName model) {
        totalInFlight--;
        if (model != null) {
            inFlight.computeIfPresent(model, (key, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Returns the replica.
     *
     * @return its id, never null
     */
    public UpstreamId id() {
        return listed.id();
    }

    /**
     * Returns the newest entry of the list.
     *
     * @return the entry, never null
     */
    public ListedReplica listed() {
        return listed;
    }

    /**
     * Returns what the replica can run.
     *
     * @return the models with their adapters
     */
    public Map<ModelName, Set<String>> residents() {
        return Map.copyOf(residents);
    }

    /**
     * Tells from where the replica would load a model.
     *
     * @param model the model, not null
     * @return the nearest copy
     */
    public CheckpointTier tierOf(ModelName model) {
        if (inMemory.contains(model)) {
            return CheckpointTier.MEMORY;
        }
        return onDisk.contains(model) ? CheckpointTier.DISK : CheckpointTier.REMOTE;
    }

    /**
     * Returns the models of which the replica has a copy on disk or in main memory.
     *
     * @return a new set
     */
    public Set<ModelName> copies() {
        Set<ModelName> copies = new HashSet<>(inMemory);
        copies.addAll(onDisk);
        return copies;
    }

    /**
     * Returns the model that the replica loads.
     *
     * @return the model, or empty, also if the load is long overdue and nobody tells of it
     */
    public Optional<ModelName> loading() {
        boolean isForgotten = clock.millis() - loadingUntilMillis > MAX_OVERDUE_MILLIS
                && clock.millis() - ordersHeardMillis > LIST_LAG_MILLIS;
        return isForgotten ? Optional.empty() : loading;
    }

    /**
     * Returns when the load is expected to end.
     *
     * @return a reading of the monotonic clock in milliseconds
     */
    public long loadingUntilMillis() {
        return loadingUntilMillis;
    }

    /**
     * Returns the calls of this entry that the replica runs.
     *
     * @return a count
     */
    public int inFlight() {
        return totalInFlight;
    }

    /**
     * Returns the calls of this entry that need a model on the replica.
     *
     * @param model the model, not null
     * @return a count
     */
    public int inFlight(ModelName model) {
        return inFlight.getOrDefault(model, 0);
    }

    /**
     * Returns the calls of this entry that the replica runs, by model.
     *
     * @return counts
     */
    public Map<ModelName, Integer> inFlightByModel() {
        return Map.copyOf(inFlight);
    }

    /**
     * Returns when the replica's process started.
     *
     * @return Unix milliseconds
     */
    public long bornMillis() {
        return bornMillis;
    }

    /**
     * Returns the number of orders that the replica has accepted.
     *
     * @return a count since its start, {@link Holdings#UNKNOWN_ORDERS} until it was heard of
     */
    public long orders() {
        return orders;
    }

    /**
     * Returns when the holder of the order lease, or the replica itself, last told of its orders.
     *
     * @return a reading of the monotonic clock in milliseconds
     */
    public long ordersHeardMillis() {
        return ordersHeardMillis;
    }

    private void restart(Holdings holdings) {
        bornMillis = holdings.bornMillis();
        orders = holdings.orders();
        absentUntilMillis.clear();
        residents.clear();
        holdings.residents().forEach(this::addResident);
        inMemory = holdings.inMemory();
        onDisk = holdings.onDisk();
        loading = Optional.empty();
        leaving = Optional.empty();
    }

    private void onListedResidents(Map<ModelName, Set<String>> newResidents) {
        if (clock.millis() - ordersHeardMillis < LIST_LAG_MILLIS) {
            completeLoad(newResidents);
            return;
        }
        if (loading.isPresent()) {
            addResidents(newResidents);
        } else {
            replaceResidents(newResidents);
        }
    }

    /** Takes the end of an overdue load from the list: its holder would have told of it, so it is gone. */
    private void completeLoad(Map<ModelName, Set<String>> newResidents) {
        if (loading.isPresent() && clock.millis() - loadingUntilMillis >= MAX_OVERDUE_MILLIS) {
            ModelName model = loading.get();
            Set<String> adapters = newResidents.get(model);
            if (adapters != null) {
                addResidents(Map.of(model, adapters));
            }
        }
    }

    /**
     * Adds models whose load has completed. Adapters stay as the accepted orders left them, since a lagging report may
     * still name one that was unloaded.
     */
    private void addResidents(Map<ModelName, Set<String>> newResidents) {
        newResidents.forEach((model, adapters) -> {
            if (!leaving.equals(Optional.of(model)) && !residents.containsKey(model)) {
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
        residents.merge(model, new HashSet<>(adapters), ReplicaState::union);
    }

    private static Set<String> union(Set<String> first, Set<String> second) {
        first.addAll(second);
        return first;
    }

    private boolean isAbsent(String key) {
        Long untilMillis = absentUntilMillis.get(key);
        if (untilMillis != null && clock.millis() >= untilMillis) {
            absentUntilMillis.remove(key);
            return false;
        }
        return untilMillis != null;
    }
}
