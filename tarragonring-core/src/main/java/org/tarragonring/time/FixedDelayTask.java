package org.tarragonring.time;

import java.time.Duration;

/** Arms a timer again after each run until it is cancelled. */
final class RepeatingTask implements Timers.Task {

    private final Timers timers;
    private final Duration period;
    private final Runnable action;
    private volatile boolean cancelled;
    private volatile Timers.Task pending;

    RepeatingTask(Timers timers, Duration period, Runnable action) {
        this.timers = timers;
        this.period = period;
        this.action = action;
    }

    @Override
    public void cancel() {
        cancelled = true;
        Timers.Task task = pending;
        if (task != null) {
            task.cancel();
        }
    }

    void arm() {
        pending = timers.schedule(period, this::run);
    }

    private void run() {
        if (cancelled) {
            return;
        }
        try {
            action.run();
        } finally {
            arm();
        }
    }
}
