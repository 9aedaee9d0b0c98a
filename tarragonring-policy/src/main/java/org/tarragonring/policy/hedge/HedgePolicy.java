package org.tarragonring.policy.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.time.MonotonicClock;

/**
 * Decides after which time a call that may be repeated is sent to a second replica, and whether it may be then.
 *
 * <p>The time is a high quantile of what calls of the same class took. A second attempt must not add load to a service that
 * is slow as a whole or short of room: its calls would all become slow, and all get second attempts.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class HedgePolicy {

    /** The quantile of response times above which a call counts as slow: one call in twenty. */
    static final double SLOW_QUANTILE = 0.95;

    /** A service is slow as a whole if its newest calls take this multiple of what its calls take. */
    static final double SLOW_SERVICE_FACTOR = 1.5;

    /** The number of newest calls whose median is compared. */
    static final int NEWEST_CALLS = 6;

    /** How long a service counts as short of room after a replica was full or a call had to wait. */
    static final Duration SHORTAGE_MEMORY = Duration.ofSeconds(2);

    /** Unused second attempts that are kept, so that several slow calls at once can have one. */
    static final double MAX_SAVED_HEDGES = 3;

    private final HedgeSettings settings;
    private final MonotonicClock clock;
    private final Map<CallClass, ResponseTimes> timesByClass = new HashMap<>();
    private final Map<ServiceName, Long> shortageMillis = new HashMap<>();
    private double savedHedges;

    /**
     * Creates a policy that knows no calls.
     *
     * @param settings the limit for second attempts, not null
     * @param clock the monotonic clock, not null
     */
    public HedgePolicy(HedgeSettings settings, MonotonicClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Checks whether second attempts are on.
     *
     * @return false if no call ever gets one
     */
    public boolean isOn() {
        return settings.isOn();
    }

    /** Records a call that may be repeated, which allows its share of a second attempt. */
    public void onCall() {
        savedHedges = Math.min(MAX_SAVED_HEDGES, savedHedges + settings.callShare());
    }

    /**
     * Records how long a replica took to respond.
     *
     * @param callClass the class of the call, not null
     * @param durationMillis the time from the sending of the call to its response, or to the first event of a stream
     */
    public void onResponse(CallClass callClass, long durationMillis) {
        timesByClass.computeIfAbsent(callClass, key -> new ResponseTimes(clock)).add(durationMillis);
    }

    /**
     * Records that a service is short of room: a replica was full, or a call waits for one.
     *
     * @param service the service, not null
     */
    public void onShortage(ServiceName service) {
        shortageMillis.put(service, clock.millis());
    }

    /**
     * Returns after which time without a response a call counts as slow.
     *
     * @param callClass the class of the call, not null
     * @return the time in milliseconds, empty if too few calls of the class are known
     */
    public OptionalLong slowAfterMillis(CallClass callClass) {
        ResponseTimes times = timesByClass.get(callClass);
        return times == null ? OptionalLong.empty() : times.quantileMillis(SLOW_QUANTILE);
    }

    /**
     * Decides whether a slow call may be sent to a second replica now. Uses a second attempt if so.
     *
     * @param callClass the class of the call, not null
     * @param remainingMillis the time until the call's deadline
     * @return why it may not, empty if it may
     */
    public Optional<Suppression> tryHedge(CallClass callClass, long remainingMillis) {
        if (isShortOfRoom(callClass.service())) {
            return Optional.of(Suppression.SHORTAGE);
        }
        if (isSlow(callClass)) {
            return Optional.of(Suppression.SERVICE_SLOW);
        }
        if (remainingMillis <= medianMillis(callClass)) {
            return Optional.of(Suppression.TOO_LATE);
        }
        if (savedHedges < 1) {
            return Optional.of(Suppression.CALL_SHARE);
        }
        savedHedges--;
        return Optional.empty();
    }

    private boolean isShortOfRoom(ServiceName service) {
        Long lastMillis = shortageMillis.get(service);
        return lastMillis != null && clock.millis() - lastMillis <= SHORTAGE_MEMORY.toMillis();
    }

    private boolean isSlow(CallClass callClass) {
        ResponseTimes times = timesByClass.get(callClass);
        OptionalLong newest = times == null ? OptionalLong.empty() : times.newestQuantileMillis(NEWEST_CALLS, 0.5);
        return newest.isPresent() && newest.getAsLong() > SLOW_SERVICE_FACTOR * medianMillis(callClass);
    }

    private long medianMillis(CallClass callClass) {
        ResponseTimes times = timesByClass.get(callClass);
        return times == null ? 0 : times.quantileMillis(0.5).orElse(0);
    }

    /** Why a slow call gets no second attempt. */
    public enum Suppression {
        /** The service was short of room a moment ago. */
        SHORTAGE("shortage"),
        /** The newest calls of the class are slow as a whole. */
        SERVICE_SLOW("service-slow"),
        /** A second attempt would hardly end before the deadline. */
        TOO_LATE("too-late"),
        /** The share of the calls that may get a second attempt is used. */
        CALL_SHARE("call-share"),
        /** The retry budget of the service is used. */
        RETRY_BUDGET("retry-budget"),
        /** No other replica can run the call at once. */
        NO_REPLICA("no-replica");

        private final String text;

        Suppression(String text) {
            this.text = text;
        }

        /**
         * Returns the name in metrics.
         *
         * @return the name, never null
         */
        public String text() {
            return text;
        }
    }
}
