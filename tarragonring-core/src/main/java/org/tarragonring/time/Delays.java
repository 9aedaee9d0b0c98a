package org.tarragonring.time;

import java.time.Duration;
import java.util.Objects;

import io.smallrye.mutiny.Uni;

/**
 * Turns timers into steps of an asynchronous sequence.
 *
 * @since 0.1.0
 */
public final class Delays {

    private final Timers timers;

    /**
     * Creates delays over timers.
     *
     * @param timers runs the delays, not null
     */
    public Delays(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Completes after a delay.
     *
     * @param delay the delay, not null
     * @return completes when it has passed
     */
    public Uni<Void> after(Duration delay) {
        return Uni.createFrom().emitter(emitter -> timers.schedule(delay, () -> emitter.complete(null)));
    }
}
