package org.tarragonring.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.CheckpointTier;

/**
 * Estimates how many loads the weight store serves at full speed at once, from how long loads take.
 *
 * <p>The limit starts low and grows while loads end in their configured time, as the congestion window of a transport
 * protocol does. A load that takes longer tells the capacity: a store that is shared by <i>n</i> loads and makes them
 * take <i>x</i> times as long serves <i>n / x</i> of them at full speed.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class StoreConcurrency {

    /** The limit before any load has ended or is overdue. */
    static final int INITIAL_LIMIT = 8;

    /** How much longer than configured a load at full speed may take, as a share of its time. */
    private static final double TOLERANCE_SHARE = 0.1;

    /** The additional time until the end of a load is reported and announced. */
    private static final long TOLERANCE_MILLIS = 500;

    private final MonotonicClock clock;
    private final Map<UpstreamId, Load> loads = new HashMap<>();
    private int limit = INITIAL_LIMIT;
    private boolean slowedDown;

    /**
     * Creates an estimator that has seen no load.
     *
     * @param clock the monotonic clock, not null
     */
    public StoreConcurrency(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Updates the estimate from the loads that are in progress now.
     *
     * @param replicas the replicas of the service, not null
     * @param engine the models of the service, not null
     */
    public void observe(Collection<ReplicaState> replicas, EngineSpec engine) {
        Map<UpstreamId, ReplicaState> byId = new HashMap<>();
        replicas.forEach(replica -> byId.put(replica.id(), replica));
        loads.entrySet().removeIf(entry -> hasEnded(entry.getValue(), byId.get(entry.getKey())));
        for (ReplicaState replica : replicas) {
            replica.loading().ifPresent(model -> observeLoad(replica, model, engine));
        }
    }

    /**
     * Returns the number of loads from the weight store that may be in progress at once.
     *
     * @return the limit, 1 or more
     */
    public int limit() {
        return limit;
    }

    private void observeLoad(ReplicaState replica, ModelName model, EngineSpec engine) {
        Load known = loads.get(replica.id());
        ModelSpec spec = engine.models().get(model);
        if (known != null) {
            if (known.isSlow(clock.millis())) {
                onSlowLoad(known);
            }
        } else if (spec != null && replica.nearestTier(model) == CheckpointTier.REMOTE) {
            loads.put(
                    replica.id(),
                    new Load(model, clock.millis(), spec.storeLoadTime().toMillis(), loads.size() + 1));
        }
    }

    /** Checks if a load is no longer in progress, and learns from its duration if it was observed from its start. */
    private boolean hasEnded(Load load, ReplicaState replica) {
        if (replica != null && replica.loading().equals(Optional.of(load.model))) {
            return false;
        }
        boolean isComplete =
                replica != null && replica.holds(load.model, "") && load.stretch(clock.millis()) >= 1 - TOLERANCE_SHARE;
        if (isComplete && !load.isSlow(clock.millis())) {
            limit += slowedDown && load.concurrency < limit ? 0 : 1;
        }
        return true;
    }

    private void onSlowLoad(Load load) {
        slowedDown = true;
        limit = Math.max(1, Math.min(limit, (int) Math.round(load.concurrency / load.stretch(clock.millis()))));
    }

    /**
     * A load in progress.
     *
     * @param model the model that is loaded
     * @param startMillis when the load was first seen, on the monotonic clock
     * @param fullSpeedMillis how long it takes at full speed
     * @param concurrency the number of loads in progress at its start, itself included
     */
    private record Load(ModelName model, long startMillis, long fullSpeedMillis, int concurrency) {

        boolean isSlow(long nowMillis) {
            return nowMillis - startMillis > fullSpeedMillis * (1 + TOLERANCE_SHARE) + TOLERANCE_MILLIS;
        }

        double stretch(long nowMillis) {
            return (nowMillis - startMillis) / (double) Math.max(1, fullSpeedMillis);
        }
    }
}
