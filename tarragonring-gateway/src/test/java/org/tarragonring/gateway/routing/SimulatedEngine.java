package org.tarragonring.gateway.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A model engine that reads prompts one after the other and generates a token for each running call in each step; or an
 * instance of a plain service, with {@code slots} calls at a time and the others queued.
 */
final class SimulatedEngine {

    private static final double PROMPT_TOKENS_PER_MILLI = 38.7;
    private static final double STEP_MILLIS = 5.5;

    /** The number of calls at which a step takes twice as long. */
    private static final double STEP_DOUBLING_CALLS = 24;

    /** The part of a tick that generation gets while a prompt is read. */
    private static final double SHARE_BESIDE_PROMPT = 0.5;

    private final int slots;
    private final List<Run> runs = new ArrayList<>();
    double speed;

    SimulatedEngine(double speed, int slots) {
        this.speed = speed;
        this.slots = slots;
    }

    int inFlight() {
        return runs.size();
    }

    void start(Run run) {
        runs.add(run);
    }

    /** Advances by some milliseconds and tells the runs of their new events. */
    void advance(double millis) {
        List<Run> active = new ArrayList<>(runs.subList(0, Math.min(slots, runs.size())));
        double promptMillis = millis * speed;
        boolean readsPrompt = active.stream().anyMatch(run -> run.promptTokens > 0);
        for (Run run : active) {
            double read = Math.min(run.promptTokens, promptMillis * PROMPT_TOKENS_PER_MILLI);
            run.promptTokens -= read;
            promptMillis -= read / PROMPT_TOKENS_PER_MILLI;
        }
        double stepMillis = STEP_MILLIS * (1 + active.size() / STEP_DOUBLING_CALLS) / speed;
        double steps = millis / stepMillis * (readsPrompt ? SHARE_BESIDE_PROMPT : 1);
        for (Run run : active) {
            if (run.promptTokens <= 0) {
                run.advance(run.isPlain ? millis * speed : steps);
            }
        }
        runs.removeIf(run -> run.remaining <= 0);
    }

    /** One call: its remaining prompt tokens and its remaining output tokens, or milliseconds if it is a plain one. */
    static final class Run {

        private final boolean isPlain;
        private final Consumer<Integer> onEvents;
        private final Runnable onEnd;
        private double promptTokens;
        private double remaining;
        private double produced;

        Run(boolean isPlain, double promptTokens, double output, Consumer<Integer> onEvents, Runnable onEnd) {
            this.isPlain = isPlain;
            this.promptTokens = promptTokens;
            this.remaining = output;
            this.onEvents = onEvents;
            this.onEnd = onEnd;
        }

        private void advance(double amount) {
            remaining -= amount;
            produced += amount;
            if (!isPlain && produced >= 1) {
                onEvents.accept((int) produced);
            }
            if (remaining <= 0) {
                onEnd.run();
            }
        }
    }
}
