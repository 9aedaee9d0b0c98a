package org.tarragonring.time;

import java.time.Duration;

/**
 * Runs actions later.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface Timers {

    /**
     * Runs an action once after a delay.
     *
     * @param delay how long to wait, not null; zero or negative runs as soon as possible
     * @param action what to run, not null
     * @return a handle that cancels the action, never null
     */
    Task schedule(Duration delay, Runnable action);

    /**
     * Runs an action again and again until the returned task is cancelled.
     *
     * @param period the time between the end of a run and the next run, not null
     * @param action what to run, not null
     * @return a handle that ends the repetition, never null
     */
    default Task repeat(Duration period, Runnable action) {
        RepeatingTask task = new RepeatingTask(this, period, action);
        task.arm();
        return task;
    }

    /** An action that waits for its time. */
    @FunctionalInterface
    interface Task {

        /** Cancels the action; does nothing if it has already run. */
        void cancel();
    }
}
