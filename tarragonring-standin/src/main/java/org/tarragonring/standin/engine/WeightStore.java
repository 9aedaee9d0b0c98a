package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * A weight store that several engines share: loads beyond a number slow all of them down in proportion.
 *
 * @since 0.1.0
 */
public final class WeightStore {

    private static final Duration STEP = Duration.ofMillis(5);

    private final Timers timers;
    private final MonotonicClock clock;
    private final int parallelAtFullSpeed;
    private final List<Transfer> transfers = new ArrayList<>();
    private double speed = 1;
    private long lastStepNanos;
    private boolean ticking;
    private int peak;

    /**
     * Creates a store without transfers.
     *
     * @param timers moves transfers on, not null
     * @param clock the monotonic clock, not null
     * @param parallelAtFullSpeed how many transfers run at full speed
     */
    public WeightStore(Timers timers, MonotonicClock clock, int parallelAtFullSpeed) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.parallelAtFullSpeed = parallelAtFullSpeed;
    }

    /**
     * Changes the speed of all transfers.
     *
     * @param factor 1 for full speed
     */
    public synchronized void setSpeed(double factor) {
        speed = factor;
    }

    /**
     * Returns the most transfers that ran at once so far.
     *
     * @return a count
     */
    public synchronized int peak() {
        return peak;
    }

    /**
     * Transfers something.
     *
     * @param atFullSpeed how long it takes at full speed, not null
     * @param done runs when it has arrived, not null
     */
    public void transfer(Duration atFullSpeed, Runnable done) {
        synchronized (this) {
            transfers.add(new Transfer(atFullSpeed.toNanos(), done));
            peak = Math.max(peak, transfers.size());
            if (ticking) {
                return;
            }
            ticking = true;
            lastStepNanos = clock.nanos();
        }
        timers.schedule(STEP, this::step);
    }

    private void step() {
        List<Runnable> finished = new ArrayList<>();
        synchronized (this) {
            long nowNanos = clock.nanos();
            double share = speed * Math.min(1, (double) parallelAtFullSpeed / Math.max(1, transfers.size()));
            double doneNanos = (nowNanos - lastStepNanos) * share;
            lastStepNanos = nowNanos;
            for (Transfer transfer : List.copyOf(transfers)) {
                transfer.leftNanos -= doneNanos;
                if (transfer.leftNanos <= 0) {
                    transfers.remove(transfer);
                    finished.add(transfer.done);
                }
            }
            ticking = !transfers.isEmpty();
        }
        if (ticking) {
            timers.schedule(STEP, this::step);
        }
        finished.forEach(Runnable::run);
    }

    private static final class Transfer {

        private double leftNanos;
        private final Runnable done;

        private Transfer(double leftNanos, Runnable done) {
            this.leftNanos = leftNanos;
            this.done = done;
        }
    }
}
