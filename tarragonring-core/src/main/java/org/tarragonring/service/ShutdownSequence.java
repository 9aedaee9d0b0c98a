package org.tarragonring.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.tarragonring.log.LogEvent;

/**
 * The steps of a shutdown, which run one after the other. A step that fails is logged and does not keep the next ones
 * from running, so that a process always ends.
 *
 * <pre>{@code
 * new ShutdownSequence()
 *         .then("timer", timer::cancel)
 *         .thenAwait("server", server::close)
 *         .run();
 * }</pre>
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ShutdownSequence {

    private final List<Step> steps = new ArrayList<>();

    /**
     * Appends a step that has ended when it returns.
     *
     * @param name names the step in the log, not null
     * @param action the step, not null
     * @return this sequence
     */
    public ShutdownSequence then(String name, Runnable action) {
        Objects.requireNonNull(action, "action");
        return thenAwait(name, () -> {
            action.run();
            return CompletableFuture.completedFuture(null);
        });
    }

    /**
     * Appends a step that ends later.
     *
     * @param name names the step in the log, not null
     * @param action starts the step and returns a stage that completes when it has ended, not null
     * @return this sequence
     */
    public ShutdownSequence thenAwait(String name, Supplier<? extends CompletionStage<?>> action) {
        steps.add(new Step(Objects.requireNonNull(name, "name"), Objects.requireNonNull(action, "action")));
        return this;
    }

    /**
     * Runs the steps. Those at the beginning that end when they return run before this method returns.
     *
     * @return completes when all steps have ended; never fails
     */
    public CompletableFuture<Void> run() {
        CompletableFuture<Void> ended = CompletableFuture.completedFuture(null);
        for (Step step : List.copyOf(steps)) {
            ended = ended.thenCompose(previous -> step.run());
        }
        return ended;
    }

    private record Step(String name, Supplier<? extends CompletionStage<?>> action) {

        CompletionStage<Void> run() {
            try {
                return action.get().handle((done, failure) -> logFailure(failure));
            } catch (RuntimeException e) {
                return CompletableFuture.completedFuture(logFailure(e));
            }
        }

        private Void logFailure(Throwable failure) {
            if (failure != null) {
                LogEvent.UNEXPECTED_FAILURE.log("shutdown of " + name, failure);
            }
            return null;
        }
    }
}
