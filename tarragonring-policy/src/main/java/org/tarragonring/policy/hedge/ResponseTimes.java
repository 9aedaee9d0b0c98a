package org.tarragonring.policy.hedge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.OptionalLong;

import org.tarragonring.time.MonotonicClock;

/**
 * The times that the newest calls of one class took to respond.
 *
 * <p>Not thread-safe.
 */
final class ResponseTimes {

    /** Bounds the memory and the time to compute a quantile; 95 in 100 still leaves three calls above it. */
    static final int MAX_SAMPLES = 64;

    /** The fewest calls from which a high quantile is more than the longest of a few. */
    static final int MIN_SAMPLES = 12;

    /** Older calls tell little of the present load. */
    private static final Duration MAX_AGE = Duration.ofSeconds(60);

    private final MonotonicClock clock;
    private final Deque<Sample> samples = new ArrayDeque<>();

    ResponseTimes(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    void add(long durationMillis) {
        if (samples.size() == MAX_SAMPLES) {
            samples.removeFirst();
        }
        samples.addLast(new Sample(clock.millis(), durationMillis));
    }

    /** Returns a quantile of all kept times; empty if there are too few. */
    OptionalLong quantileMillis(double fraction) {
        removeExpired();
        return samples.size() < MIN_SAMPLES ? OptionalLong.empty() : quantile(samples.size(), fraction);
    }

    /** Returns a quantile of the newest times; empty if there are fewer than that number. */
    OptionalLong newestQuantileMillis(int count, double fraction) {
        removeExpired();
        return samples.size() < count ? OptionalLong.empty() : quantile(count, fraction);
    }

    private OptionalLong quantile(int newest, double fraction) {
        long[] sorted = samples.stream()
                .skip(samples.size() - newest)
                .mapToLong(Sample::durationMillis)
                .sorted()
                .toArray();
        return OptionalLong.of(sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]);
    }

    private void removeExpired() {
        long nowMillis = clock.millis();
        while (!samples.isEmpty() && nowMillis - samples.peekFirst().recordedMillis() > MAX_AGE.toMillis()) {
            samples.removeFirst();
        }
    }

    private record Sample(long recordedMillis, long durationMillis) {}
}
