package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Detects that the event loop was stalled, for example because the process had no processor time. Requests that are read
 * then may have waited in the socket for so long that their callers have left.
 *
 * <p>Not thread-safe.
 */
final class StallDetector {

    private static final Duration TICK_PERIOD = Duration.ofMillis(200);

    /** The delay of a tick from which on the event loop counts as stalled. */
    private static final Duration MIN_STALL = Duration.ofMillis(200);

    /** How long after a stall requests may still be read that arrived before its end. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Timers timers;
    private Timers.Task ticks = () -> {};
    private long nextTickMillis;
    private long stalledUntilMillis = Long.MIN_VALUE;

    StallDetector(MonotonicClock clock, Timers timers) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    void start() {
        nextTickMillis = clock.millis() + TICK_PERIOD.toMillis();
        ticks = timers.scheduleWithFixedDelay(TICK_PERIOD, this::onTick);
    }

    void stop() {
        ticks.cancel();
    }

    /** Returns whether the event loop is or was stalled until recently. */
    boolean isStalled() {
        checkDelay();
        return clock.millis() < stalledUntilMillis;
    }

    private void onTick() {
        checkDelay();
        nextTickMillis = clock.millis() + TICK_PERIOD.toMillis();
    }

    private void checkDelay() {
        long nowMillis = clock.millis();
        if (nowMillis - nextTickMillis >= MIN_STALL.toMillis()) {
            stalledUntilMillis = nowMillis + RECOVERY_TIME.toMillis();
        }
    }
}
