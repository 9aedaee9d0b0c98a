package org.tarragonring.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Polls the instance list. The period grows with the number of entries, to limit the load on the platform, and a read
 * that transferred a changed list delays the next one in proportion to its size, to limit this entry's traffic. Between
 * two reads the entry is notified of leaving upstreams by the entries that read the status of the engines.
 *
 * @since 0.1.0
 */
public final class DirectoryPoller {

    private static final Duration TICK_PERIOD = Duration.ofSeconds(1);
    private static final int ENTRIES_PER_ADDITIONAL_TICK = 150;
    private static final int MAX_BYTES_PER_SECOND = 1_500;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final UpstreamDirectory directory;
    private final IntSupplier entryCount;
    private final MonotonicClock clock;
    private final Timers timers;
    private Timers.Task task = () -> {};
    private int ticks;
    private volatile long nextReadMillis;

    /**
     * Creates a poller that is not started.
     *
     * @param directory the directory to refresh, not null
     * @param entryCount returns the number of entries, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the reads, not null
     */
    public DirectoryPoller(UpstreamDirectory directory, IntSupplier entryCount, MonotonicClock clock, Timers timers) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.entryCount = Objects.requireNonNull(entryCount, "entryCount");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Reads the list once and starts polling it. */
    public void start() {
        read();
        task = timers.scheduleWithFixedDelay(TICK_PERIOD, this::readIfDue);
    }

    /** Stops polling. */
    public void stop() {
        task.cancel();
    }

    private void readIfDue() {
        ticks++;
        int ticksPerRead = 1 + entryCount.getAsInt() / ENTRIES_PER_ADDITIONAL_TICK;
        if (clock.millis() >= nextReadMillis && ticks % ticksPerRead == 0) {
            read();
        }
    }

    private void read() {
        directory.refresh().subscribe().with(done -> scheduleNextRead(), failure -> {});
    }

    private void scheduleNextRead() {
        nextReadMillis = clock.millis() + MILLIS_PER_SECOND * directory.lastReadBytes() / MAX_BYTES_PER_SECOND;
    }
}
