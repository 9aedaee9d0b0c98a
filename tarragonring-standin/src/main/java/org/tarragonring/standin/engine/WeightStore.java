package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * A stand-in for the weight store of several engines. If more transfers run than a limit, they share the
 * bandwidth, and all of them slow down in proportion.
 *
 * @since 0.1.0
 */
public final class WeightStore {

    private static final Duration STEP_INTERVAL = Duration.ofMillis(5);

    private final Timers timers;
    private final MonotonicClock clock;
    private final int maxFullSpeedTransfers;
    private final List<Transfer> transfers = new ArrayList<>();
    private double speedFactor = 1;
    private long lastStepNanos;
    private boolean stepScheduled;
    private int maxConcurrentTransfers;

    /**
     * Creates a weight store without transfers.
     *
     * @param timers schedules the steps in which transfers progress, not null
     * @param clock measures the progress of transfers, not null
     * @param maxFullSpeedTransfers the maximum number of concurrent transfers that run at full speed
     */
    public WeightStore(Timers timers, MonotonicClock clock, int maxFullSpeedTransfers) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.maxFullSpeedTransfers = maxFullSpeedTransfers;
    }

    /**
     * Changes the speed of all current and future transfers.
     *
     * @param factor the factor by which speeds are multiplied, 1 for full speed
     */
    public synchronized void setSpeedFactor(double factor) {
        speedFactor = factor;
    }

    /**
     * Returns the maximum number of concurrent transfers since this store was created.
     *
     * @return the number, 0 or more
     */
    public synchronized int maxConcurrentTransfers() {
        return maxConcurrentTransfers;
    }

    /**
     * Starts a transfer.
     *
     * @param fullSpeedDuration the time that the transfer takes at full speed, not null
     * @param onComplete the action to run once the transfer is complete, not null
     */
    public void transfer(Duration fullSpeedDuration, Runnable onComplete) {
        synchronized (this) {
            transfers.add(new Transfer(fullSpeedDuration.toNanos(), onComplete));
            maxConcurrentTransfers = Math.max(maxConcurrentTransfers, transfers.size());
            if (stepScheduled) {
                return;
            }
            stepScheduled = true;
            lastStepNanos = clock.nanos();
        }
        timers.schedule(STEP_INTERVAL, this::step);
    }

    private void step() {
        List<Runnable> finished = new ArrayList<>();
        synchronized (this) {
            long nowNanos = clock.nanos();
            double rate = speedFactor * Math.min(1, (double) maxFullSpeedTransfers / Math.max(1, transfers.size()));
            double progressNanos = (nowNanos - lastStepNanos) * rate;
            lastStepNanos = nowNanos;
            for (Transfer transfer : List.copyOf(transfers)) {
                transfer.remainingNanos -= progressNanos;
                if (transfer.remainingNanos <= 0) {
                    transfers.remove(transfer);
                    finished.add(transfer.onComplete);
                }
            }
            stepScheduled = !transfers.isEmpty();
        }
        if (stepScheduled) {
            timers.schedule(STEP_INTERVAL, this::step);
        }
        finished.forEach(Runnable::run);
    }

    private static final class Transfer {

        private double remainingNanos;
        private final Runnable onComplete;

        private Transfer(double remainingNanos, Runnable onComplete) {
            this.remainingNanos = remainingNanos;
            this.onComplete = onComplete;
        }
    }
}
