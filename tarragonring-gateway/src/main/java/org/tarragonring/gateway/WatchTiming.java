package org.tarragonring.gateway;

import java.time.Duration;

/**
 * Computes the times of watch requests from the times that the platform prescribes.
 *
 * @since 0.2.0
 */
final class WatchTiming {

    /** The part of the contact time for a repeated watch request and for applying what it returns. */
    private static final Duration REPEATED_WATCH_TIME = Duration.ofMillis(400);

    /** Keeps the number of watch requests bounded if the contact time is short. */
    private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(500);

    /** The part of the drain time for the watch request that returns a change, and for one repetition of it. */
    private static final Duration REPLICA_WATCH_TIME = Duration.ofMillis(600);

    private static final Duration MIN_REPLICA_BATCH_DELAY = Duration.ofMillis(100);

    /** Keeps registrations younger than the states of replicas assume. */
    private static final Duration MAX_REPLICA_BATCH_DELAY = Duration.ofMillis(1_700);

    private WatchTiming() {}

    /**
     * Returns how long the store may hold a watch request, so that a request whose response never arrives is repeated
     * and answered within the contact time.
     *
     * @param contactTime the time after a fault within which an entry must have caught up with the store, not null
     * @param storeTimeout the time after which a request to the store counts as lost, not null
     * @return the time, never null
     */
    static Duration watchTimeout(Duration contactTime, Duration storeTimeout) {
        Duration timeout = contactTime.minus(storeTimeout).minus(REPEATED_WATCH_TIME);
        return timeout.compareTo(MIN_WATCH_TIMEOUT) < 0 ? MIN_WATCH_TIMEOUT : timeout;
    }

    /**
     * Returns how long changes of replicas are collected before the next watch request. Half of the drain time remains
     * for calls that are about to be sent when the change arrives.
     *
     * @param drainTime the time within which a replica that drains must stop receiving calls, not null
     * @return the delay, never null
     */
    static Duration replicaBatchDelay(Duration drainTime) {
        Duration delay = drainTime.minus(REPLICA_WATCH_TIME).dividedBy(2);
        if (delay.compareTo(MIN_REPLICA_BATCH_DELAY) < 0) {
            return MIN_REPLICA_BATCH_DELAY;
        }
        return delay.compareTo(MAX_REPLICA_BATCH_DELAY) < 0 ? delay : MAX_REPLICA_BATCH_DELAY;
    }
}
