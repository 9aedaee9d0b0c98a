package org.tarragonring.time;

import java.time.Duration;

/** Runs an action periodically by scheduling the next run after each run, also if the run failed, until cancelled. */
final class FixedDelayTask implements Timers.Task {

    private final Timers timers;
    private final Duration delay;
    private final Runnable action;
    private volatile boolean cancelled;
    private volatile Timers.Task nextRun;

    FixedDelayTask(Timers timers, Duration delay, Runnable action) {
        this.timers = timers;
        this.delay = delay;
        this.action = action;
    }

    @Override
    public void cancel() {
        cancelled = true;
        Timers.Task task = nextRun;
        if (task != null) {
            task.cancel();
        }
    }

    void scheduleNextRun() {
        nextRun = timers.schedule(delay, this::run);
    }

    private void run() {
        if (cancelled) {
            return;
        }
        try {
            action.run();
        } finally {
            scheduleNextRun();
        }
    }
}
