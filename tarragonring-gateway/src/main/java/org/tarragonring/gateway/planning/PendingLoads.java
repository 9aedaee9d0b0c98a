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
 * <p>Not thread-safe.
 */
final class PendingLoads {

    /**
     * How long after its expected end a load still counts as in progress. The unload that precedes it may wait several
     * seconds for running calls.
     */
    static final Duration MAX_OVERDUE = Duration.ofMillis(4_000);

    /** How long the first order of a load may take: some milliseconds, some hundred if its lease must be renewed. */
    static final Duration START_TIMEOUT = Duration.ofMillis(900);

    /**
     * How long a replica is avoided after a load was not started there. The failure of the lease holder is detected
     * within this time.
     */
    static final Duration AVOIDANCE = Duration.ofMillis(2_000);

    /** The estimated remaining time of a load that should have ended at this moment. */
    private static final long MIN_OVERDUE_MILLIS = 300;

    private final MonotonicClock clock;
    private final Map<UpstreamId, PendingLoad> pendingLoads = new HashMap<>();
    private final Map<UpstreamId, Long> avoidedUntilMillis = new HashMap<>();

    PendingLoads(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records a planned load, which replaces the one recorded for the replica before. */
    void add(ReplicaState replica, ModelName model, long expectedDurationMillis) {
        long now = clock.millis();
        pendingLoads.put(
                replica.id(), new PendingLoad(model, now, now + expectedDurationMillis, replica.acceptedOrders()));
    }

    /**
     * Returns the load that is in progress on a replica or planned for it. Forgets a planned load that has completed,
     * was not started in time or is too long overdue. If it was not started in time and there was no update about the
     * replica's orders since it was planned, the replica is avoided for a while.
     *
     * @param replica the replica, not null
     * @return the model and the estimated remaining time, or empty if there is no such load
     */
    Optional<LoadInProgress> inProgress(ReplicaState replica) {
        long now = clock.millis();
        PendingLoad pending = pendingLoads.get(replica.id());
        if (pending != null && isOver(pending, replica, now)) {
            pendingLoads.remove(replica.id());
            pending = null;
        }
        if (replica.loading().isPresent()) {
            return Optional.of(LoadInProgress.of(replica.loading().get(), replica.expectedLoadEndMillis(), now));
        }
        return Optional.ofNullable(pending).map(p -> LoadInProgress.of(p.model, p.expectedEndMillis, now));
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

    private boolean isOver(PendingLoad pending, ReplicaState replica, long now) {
        if (replica.holds(pending.model, "") || now >= pending.expectedEndMillis + MAX_OVERDUE.toMillis()) {
            return true;
        }
        boolean isStarted = replica.acceptedOrders() != pending.ordersBefore
                || replica.loading().isPresent();
        if (isStarted || now - pending.plannedAtMillis < START_TIMEOUT.toMillis()) {
            return false;
        }
        if (replica.lastOrderUpdateMillis() <= pending.plannedAtMillis) {
            LogEvent.LOAD_NOT_STARTED.log(pending.model, replica.id(), now - pending.plannedAtMillis);
            avoidedUntilMillis.put(replica.id(), now + AVOIDANCE.toMillis());
        }
        return true;
    }

    /**
     * A load that is in progress or planned.
     *
     * @param model the model, not null
     * @param remainingMillis how much longer it is expected to take; the longer it is overdue, the longer
     * @param overdue whether it should have ended long enough ago for the end to be known
     */
    record LoadInProgress(ModelName model, long remainingMillis, boolean overdue) {

        private static LoadInProgress of(ModelName model, long expectedEndMillis, long nowMillis) {
            long remainingMillis = expectedEndMillis - nowMillis;
            return remainingMillis > 0
                    ? new LoadInProgress(model, remainingMillis, false)
                    : new LoadInProgress(
                            model,
                            MIN_OVERDUE_MILLIS - remainingMillis,
                            -remainingMillis > ReplicaState.MAX_LOAD_OVERDUE_MILLIS);
        }
    }

    /**
     * A planned load that has not completed yet. Times are on the monotonic clock.
     *
     * @param model what to load
     * @param plannedAtMillis when the load was planned
     * @param expectedEndMillis when the load should have completed
     * @param ordersBefore the orders that the replica had accepted then
     */
    private record PendingLoad(ModelName model, long plannedAtMillis, long expectedEndMillis, long ordersBefore) {}
}
