package org.tarragonring.gateway.planning;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

/**
 * Tracks the loads that this entry has planned until the replicas hold the models, and the replicas to avoid because a
 * planned load was not started there.
 *
 * <p>Not safe for use by several threads.
 */
final class PendingLoads {

    /**
     * How long after its expected end a load still counts as in progress. The unload that precedes it may wait several
     * seconds for running calls.
     */
    static final Duration MAX_OVERDUE = Duration.ofMillis(4_000);

    /**
     * The time within which the replica must accept the first order of a load. This normally takes a few milliseconds,
     * and a few hundred if the lease must be renewed first.
     */
    static final Duration START_TIMEOUT = Duration.ofMillis(900);

    /**
     * How long a replica is avoided after a load was not started there. The failure of the lease holder is detected
     * within this time.
     */
    static final Duration AVOID_TIME = Duration.ofMillis(2_000);

    /** The estimated remaining time of a load that should have ended at this moment. */
    private static final long MIN_OVERDUE_REMAINING_MILLIS = 300;

    private final MonotonicClock clock;
    private final Map<UpstreamId, PendingLoad> pendingLoads = new HashMap<>();
    private final Map<UpstreamId, Long> avoidedUntilMillis = new HashMap<>();

    PendingLoads(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records a planned load, which replaces the one recorded for the replica before. */
    void add(ReplicaState replica, ModelName model, long expectedDurationMillis) {
        long nowMillis = clock.millis();
        pendingLoads.put(
                replica.id(),
                new PendingLoad(model, nowMillis, nowMillis + expectedDurationMillis, replica.acceptedOrders()));
    }

    /**
     * Returns the load that is in progress on a replica or planned for it. Forgets a planned load that has completed,
     * was not started in time or is too long overdue. If it was not started in time and nothing was heard of the
     * replica's orders since it was planned, the replica is avoided for a while.
     *
     * @param replica the replica, not null
     * @return the load with its estimated remaining time, or empty if there is none
     */
    Optional<LoadInProgress> inProgress(ReplicaState replica) {
        long nowMillis = clock.millis();
        PendingLoad pending = pendingLoads.get(replica.id());
        if (pending != null && isOver(pending, replica, nowMillis)) {
            pendingLoads.remove(replica.id());
            pending = null;
        }
        if (replica.loading().isPresent()) {
            return Optional.of(new LoadInProgress(
                    replica.loading().get(), remainingMillis(replica.expectedLoadEndMillis(), nowMillis)));
        }
        return Optional.ofNullable(pending)
                .map(p -> new LoadInProgress(p.model, remainingMillis(p.expectedEndMillis, nowMillis)));
    }

    /**
     * Checks whether loads may be planned for a replica.
     *
     * @param replica the id of the replica, not null
     * @return false while the replica is avoided because a planned load was not started there
     */
    boolean mayPlanFor(UpstreamId replica) {
        Long untilMillis = avoidedUntilMillis.get(replica);
        if (untilMillis != null && clock.millis() >= untilMillis) {
            avoidedUntilMillis.remove(replica);
            return true;
        }
        return untilMillis == null;
    }

    private boolean isOver(PendingLoad pending, ReplicaState replica, long nowMillis) {
        if (replica.holds(pending.model, "") || nowMillis >= pending.expectedEndMillis + MAX_OVERDUE.toMillis()) {
            return true;
        }
        boolean isStarted = replica.acceptedOrders() != pending.initialOrderCount
                || replica.loading().isPresent();
        if (isStarted || nowMillis - pending.plannedAtMillis < START_TIMEOUT.toMillis()) {
            return false;
        }
        if (replica.lastOrderUpdateMillis() <= pending.plannedAtMillis) {
            LogEvent.LOAD_NOT_STARTED.log(pending.model, replica.id(), nowMillis - pending.plannedAtMillis);
            avoidedUntilMillis.put(replica.id(), nowMillis + AVOID_TIME.toMillis());
        }
        return true;
    }

    /** Estimates the remaining time of a load; the longer it is overdue, the longer it is expected to continue. */
    private static long remainingMillis(long expectedEndMillis, long nowMillis) {
        return expectedEndMillis > nowMillis
                ? expectedEndMillis - nowMillis
                : MIN_OVERDUE_REMAINING_MILLIS + (nowMillis - expectedEndMillis);
    }

    /**
     * A load that is in progress or planned.
     *
     * @param model the model, not null
     * @param remainingMillis the estimated remaining time
     */
    record LoadInProgress(ModelName model, long remainingMillis) {}

    /**
     * A planned load that has not completed yet. Times are on the monotonic clock.
     *
     * @param model the model to load
     * @param plannedAtMillis when the load was planned
     * @param expectedEndMillis when the load should have completed
     * @param initialOrderCount the number of orders that the replica had accepted when the load was planned
     */
    private record PendingLoad(ModelName model, long plannedAtMillis, long expectedEndMillis, long initialOrderCount) {}
}
