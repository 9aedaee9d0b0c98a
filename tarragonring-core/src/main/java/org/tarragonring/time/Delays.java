package org.tarragonring.time;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;

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

    /**
     * Repeats a step until it yields something. Waiting long takes no more stack or memory than waiting briefly.
     *
     * @param <T> the type of the result
     * @param period the time between the end of a step and the next one, not null
     * @param step yields the result, or empty to be repeated; a failure ends the repetition; not null
     * @return the result
     */
    public <T> Uni<T> until(Duration period, Supplier<Uni<Optional<T>>> step) {
        return Uni.createFrom().emitter(emitter -> attempt(period, step, emitter));
    }

    private <T> void attempt(Duration period, Supplier<Uni<Optional<T>>> step, UniEmitter<? super T> emitter) {
        Uni.createFrom()
                .deferred(() -> step.get())
                .subscribe()
                .with(
                        result -> {
                            if (result.isPresent()) {
                                emitter.complete(result.get());
                            } else {
                                timers.schedule(period, () -> attempt(period, step, emitter));
                            }
                        },
                        emitter::fail);
    }
}
