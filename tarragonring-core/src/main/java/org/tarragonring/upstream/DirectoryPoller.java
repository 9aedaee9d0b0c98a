package org.tarragonring.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Reads the instance list again and again: less often the more entries do, so that the platform's load stays bounded,
 * and after a change only when a time in proportion to the list's size has passed, so that this entry's traffic does.
 * Meanwhile upstreams that leave are known by their own word.
 *
 * @since 0.1.0
 */
public final class DirectoryPoller {

    private static final Duration TICK = Duration.ofSeconds(1);
    private static final int ENTRIES_PER_TICK = 150;
    private static final int BYTES_PER_SECOND = 1_500;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final UpstreamDirectory directory;
    private final IntSupplier entries;
    private final MonotonicClock clock;
    private final Timers timers;
    private Timers.Task task = () -> {};
    private int ticks;
    private volatile long nextReadMillis;

    /**
     * Creates a poller that does not run yet.
     *
     * @param directory what is refreshed, not null
     * @param entries tells how many entries there are, not null
     * @param clock the monotonic clock, not null
     * @param timers runs the reads, not null
     */
    public DirectoryPoller(UpstreamDirectory directory, IntSupplier entries, MonotonicClock clock, Timers timers) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.entries = Objects.requireNonNull(entries, "entries");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Reads once and starts reading again and again. */
    public void start() {
        read();
        task = timers.repeat(TICK, this::readIfDue);
    }

    /** Stops reading. */
    public void stop() {
        task.cancel();
    }

    private void readIfDue() {
        ticks++;
        int ticksPerRead = 1 + entries.getAsInt() / ENTRIES_PER_TICK;
        if (clock.millis() >= nextReadMillis && ticks % ticksPerRead == 0) {
            read();
        }
    }

    private void read() {
        directory.refresh().subscribe().with(done -> onRead(), failure -> {});
    }

    private void onRead() {
        nextReadMillis = clock.millis() + MILLIS_PER_SECOND * directory.latestBytes() / BYTES_PER_SECOND;
    }
}
