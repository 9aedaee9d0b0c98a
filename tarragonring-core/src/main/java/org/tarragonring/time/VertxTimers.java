package org.tarragonring.time;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Vertx;

/**
 * Schedules actions with the timers of a Vert.x instance.
 *
 * @since 0.1.0
 */
public final class VertxTimers implements Timers {

    private final Vertx vertx;

    /**
     * Creates timers that use a Vert.x instance.
     *
     * @param vertx the Vert.x instance, not null
     */
    public VertxTimers(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    @Override
    public Task schedule(Duration delay, Runnable action) {
        long delayMillis = Math.max(1, delay.toMillis());
        long timerId = vertx.setTimer(delayMillis, ignored -> action.run());
        return () -> vertx.cancelTimer(timerId);
    }
}
