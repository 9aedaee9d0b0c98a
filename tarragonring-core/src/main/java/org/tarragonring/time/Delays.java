package org.tarragonring.time;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;

/**
 * Delays and polls asynchronously, using timers.
 *
 * @since 0.1.0
 */
public final class Delays {

    private final Timers timers;

    /**
     * Creates delays that use the given timers.
     *
     * @param timers the timers, not null
     */
    public Delays(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Returns a {@link Uni} that completes after a delay. The delay starts at the subscription.
     *
     * @param delay the delay, not null; zero or negative completes as soon as possible
     * @return completes with null after the delay
     */
    public Uni<Void> after(Duration delay) {
        return Uni.createFrom().emitter(emitter -> timers.schedule(delay, () -> emitter.complete(null)));
    }

    /**
     * Polls until a result is present. Stack and memory use do not grow with the number of polls.
     *
     * @param <T> the type of the result
     * @param period the time between the end of a poll and the start of the next one, not null
     * @param poll returns the result, or empty to poll again; not null
     * @return the first result that is present; fails if a poll fails
     */
    public <T> Uni<T> pollUntilPresent(Duration period, Supplier<Uni<Optional<T>>> poll) {
        return Uni.createFrom().emitter(emitter -> pollOnce(period, poll, emitter));
    }

    private <T> void pollOnce(Duration period, Supplier<Uni<Optional<T>>> poll, UniEmitter<? super T> emitter) {
        Uni.createFrom()
                .deferred(() -> poll.get())
                .subscribe()
                .with(
                        result -> {
                            if (result.isPresent()) {
                                emitter.complete(result.get());
                            } else {
                                timers.schedule(period, () -> pollOnce(period, poll, emitter));
                            }
                        },
                        emitter::fail);
    }
}
