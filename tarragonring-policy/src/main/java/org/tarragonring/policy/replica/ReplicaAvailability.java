package org.tarragonring.policy.replica;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Whether a replica wants new calls: it may be about to shut down, or have asked this entry for a pause. It outlasts the
 * registration of the replica, as the same process may be registered again.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaAvailability {

    private final MonotonicClock clock;
    private boolean leaving;

    /** The start of the process that is about to shut down, if the replica is leaving. */
    private long leavingStartMillis;

    private long newestStartMillis = Long.MIN_VALUE;
    private long pausedUntilMillis;

    /**
     * Creates the availability of a replica that wants calls.
     *
     * @param clock the monotonic clock, not null
     */
    public ReplicaAvailability(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.pausedUntilMillis = clock.millis();
    }

    /** Applies a registration. A replica that is leaving stays so until it registers as a new process. */
    void onListed(ListedReplica update) {
        long startMillis = update.holdings().processStartMillis();
        if (update.draining()) {
            onLeaving(startMillis);
        } else if (leaving && startMillis > leavingStartMillis) {
            leaving = false;
        }
    }

    /** Ends a pause that the process before has asked for. Does nothing if the process is known. */
    void onProcess(ReplicaProcess process) {
        if (process.startMillis() > newestStartMillis) {
            newestStartMillis = process.startMillis();
            pausedUntilMillis = clock.millis();
        }
    }

    /**
     * Checks whether a process of the replica is known that started after another one.
     *
     * @param startMillis the start time of the other process, in Unix milliseconds
     * @return true if a later process has registered or sent a report
     */
    public boolean isNewerThan(long startMillis) {
        return newestStartMillis > startMillis;
    }

    /**
     * Checks whether a process is the newest one that is known of the replica.
     *
     * @param startMillis the start time of the process, in Unix milliseconds
     * @return false if an earlier or a later one is known, or none
     */
    public boolean isOfProcess(long startMillis) {
        return newestStartMillis == startMillis;
    }

    /**
     * Records that the replica is about to shut down and must get no new calls. Only a registration as a new process ends
     * this.
     *
     * @param startMillis the start time of the process that is about to shut down, in Unix milliseconds
     * @return true if this was not known; false also if the replica has started again since
     */
    public boolean onLeaving(long startMillis) {
        boolean isKnown = leaving && startMillis <= leavingStartMillis;
        if (isKnown || startMillis < newestStartMillis) {
            return false;
        }
        leaving = true;
        leavingStartMillis = startMillis;
        return true;
    }

    /**
     * Checks if the replica is about to shut down.
     *
     * @return true if it has told so, in its registration or in a response
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Records that the replica has asked this entry to send it nothing for some time.
     *
     * @param time the time, not null
     */
    public void pauseFor(Duration time) {
        pausedUntilMillis = Math.max(pausedUntilMillis, clock.millis() + time.toMillis());
    }

    /**
     * Returns how long the replica wants to get nothing from this entry.
     *
     * @return the remaining time in milliseconds, 0 if there is none
     */
    public long pauseMillis() {
        return Math.max(0, pausedUntilMillis - clock.millis());
    }
}
