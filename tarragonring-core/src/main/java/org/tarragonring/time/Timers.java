package org.tarragonring.time;

import java.time.Duration;

/**
 * Schedules actions to run after a delay.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface Timers {

    /**
     * Runs an action once after a delay.
     *
     * @param delay the delay, not null; zero or negative runs the action as soon as possible
     * @param action the action, not null
     * @return a task that can be cancelled, never null
     */
    Task schedule(Duration delay, Runnable action);

    /**
     * Runs an action periodically until the returned task is cancelled. The first run is after one delay; an exception
     * of the action does not stop later runs.
     *
     * @param delay the time between the end of a run and the start of the next run, not null
     * @param action the action, not null
     * @return a task that can be cancelled, never null
     */
    default Task scheduleWithFixedDelay(Duration delay, Runnable action) {
        FixedDelayTask task = new FixedDelayTask(this, delay, action);
        task.scheduleNextRun();
        return task;
    }

    /** A scheduled action. */
    @FunctionalInterface
    interface Task {

        /** Cancels the action; has no effect on a one-time action that has already run. */
        void cancel();
    }
}
