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
 * Remembers the loads that this entry decided until replicas show them, and the replicas for which nobody carries them out.
 *
 * <p>Not safe for use by several threads.
 */
final class DecidedLoads {

    /** How much longer than expected a decided load counts as under way: an unload may wait for runs of some seconds. */
    static final Duration MARGIN = Duration.ofMillis(4_000);

    /** How long the first order of a load may take: some milliseconds, some hundred if its lease must be renewed. */
    static final Duration ACCEPT_LIMIT = Duration.ofMillis(900);

    /** How long loads go elsewhere then; a holder that is gone is known as such after this time. */
    static final Duration AVOIDANCE = Duration.ofMillis(2_000);

    /** What is expected of an order that should have ended just now. */
    private static final long MIN_OVERDUE_MILLIS = 300;

    private final MonotonicClock clock;
    private final Map<UpstreamId, Decision> decisions = new HashMap<>();
    private final Map<UpstreamId, Long> avoidedUntilMillis = new HashMap<>();

    /**
     * Creates an empty memory.
     *
     * @param clock the monotonic clock, not null
     */
    DecidedLoads(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Notes a load and how long it should take. */
    void decide(ReplicaState replica, ModelName model, long expectedMillis) {
        long now = clock.millis();
        decisions.put(replica.id(), new Decision(model, now, now + expectedMillis, replica.acceptedOrders()));
    }

    /**
     * Finds the load that is under way on a replica.
     *
     * @param replica the replica, not null
     * @return what it loads or is about to load and for how much longer, or empty
     */
    Optional<UnderWay> underWay(ReplicaState replica) {
        long now = clock.millis();
        Decision decision = decisions.get(replica.id());
        if (decision != null && isOver(decision, replica, now)) {
            decisions.remove(replica.id());
            decision = null;
        }
        if (replica.loading().isPresent()) {
            return Optional.of(new UnderWay(replica.loading().get(), untilFree(replica.expectedLoadEndMillis(), now)));
        }
        return Optional.ofNullable(decision).map(d -> new UnderWay(d.model, untilFree(d.expectedMillis, now)));
    }

    /**
     * Checks if loads on a replica are carried out as far as is known.
     *
     * @param replica the replica, not null
     * @return false for a while after a load that was not started by a holder of which nothing was heard
     */
    boolean isCarriedOut(UpstreamId replica) {
        Long untilMillis = avoidedUntilMillis.get(replica);
        if (untilMillis != null && clock.millis() >= untilMillis) {
            avoidedUntilMillis.remove(replica);
            return true;
        }
        return untilMillis == null;
    }

    private boolean isOver(Decision decision, ReplicaState replica, long now) {
        if (replica.holds(decision.model, "") || now >= decision.expectedMillis + MARGIN.toMillis()) {
            return true;
        }
        boolean isStarted = replica.acceptedOrders() != decision.ordersBefore
                || replica.loading().isPresent();
        if (isStarted || now - decision.madeMillis < ACCEPT_LIMIT.toMillis()) {
            return false;
        }
        if (replica.lastOrderUpdateMillis() <= decision.madeMillis) {
            LogEvent.LOAD_NOT_STARTED.log(decision.model, replica.id(), now - decision.madeMillis);
            avoidedUntilMillis.put(replica.id(), now + AVOIDANCE.toMillis());
        }
        return true;
    }

    /** Estimates when an order ends; the longer it is overdue, the longer it is expected to go on. */
    private static long untilFree(long expectedMillis, long now) {
        return expectedMillis > now ? expectedMillis - now : MIN_OVERDUE_MILLIS + (now - expectedMillis);
    }

    /**
     * A load that is under way.
     *
     * @param model what is loaded
     * @param remainingMillis how much longer it is expected to take
     */
    record UnderWay(ModelName model, long remainingMillis) {}

    /**
     * A load that was decided.
     *
     * @param model what to load
     * @param madeMillis when it was decided
     * @param expectedMillis when it should be done
     * @param ordersBefore the orders that the replica had accepted then
     */
    private record Decision(ModelName model, long madeMillis, long expectedMillis, long ordersBefore) {}
}
