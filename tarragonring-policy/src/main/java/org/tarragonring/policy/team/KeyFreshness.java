package org.tarragonring.policy.team;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

import org.tarragonring.time.MonotonicClock;

/**
 * Decides whether the configuration of this entry is recent enough to serve calls with keys, so that a removed key is
 * refused in time also by an entry that cannot reach the store.
 *
 * <p>The configuration is confirmed as of the sending of a request to the store that was answered and covers the whole
 * configuration: the store may have answered at any time since. The elapsed time is that of the clock which has advanced
 * more, as the monotonic clock stops while an instance is suspended and the wall clock may be set back.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class KeyFreshness {

    /** Covers clocks that run at different rates, and the rounding of both clocks to milliseconds. */
    private static final Duration MARGIN = Duration.ofMillis(250);

    private final KeySettings settings;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private boolean confirmed;
    private long confirmedMonotonicMillis;
    private long confirmedWallMillis;

    /**
     * Creates an instance without a confirmation.
     *
     * @param settings tells whether and when calls with keys are refused, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the wall clock, not null
     */
    public KeyFreshness(KeySettings settings, MonotonicClock clock, InstantSource wallClock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /**
     * Notes the time just before a request for the configuration is sent to the store.
     *
     * @return the action to run when the request has been answered and its result is in force, never null; an answer to
     *     an earlier request than the last one confirmed changes nothing
     */
    public Runnable onRequestSent() {
        long sentMonotonicMillis = clock.millis();
        long sentWallMillis = wallClock.millis();
        return () -> {
            if (!confirmed || sentMonotonicMillis > confirmedMonotonicMillis) {
                confirmed = true;
                confirmedMonotonicMillis = sentMonotonicMillis;
                confirmedWallMillis = sentWallMillis;
            }
        };
    }

    /**
     * Checks if calls with keys depend on a recent configuration.
     *
     * @return false if they are served however old the configuration is
     */
    public boolean isBounded() {
        return settings.failClosed();
    }

    /**
     * Checks if calls with keys may be served now.
     *
     * @return true if keys are not bound to a recent configuration, or the configuration is recent enough
     */
    public boolean isFresh() {
        return !settings.failClosed() || remainingMillis() > 0;
    }

    /**
     * Returns how long calls with keys may be served if nothing more is confirmed.
     *
     * @return the time in milliseconds, 0 or less if it is over or nothing was confirmed yet
     */
    public long remainingMillis() {
        return confirmed ? settings.revocationTime().minus(MARGIN).toMillis() - ageMillis() : 0;
    }

    /**
     * Returns the time since the last confirmation.
     *
     * @return the time in milliseconds, 0 before the first confirmation
     */
    public long ageMillis() {
        return confirmed
                ? Math.max(clock.millis() - confirmedMonotonicMillis, wallClock.millis() - confirmedWallMillis)
                : 0;
    }

    /**
     * Returns how long the store may hold a watch of the configuration, so that each confirmation comes before the one
     * before it is too old, also if its response is late.
     *
     * @param usual the time if keys are not bound to a recent configuration, not null
     * @param responseTime the longest time in which the store responds, not null
     * @return the usual time, or less where calls with keys would be refused otherwise; never null
     */
    public Duration watchTime(Duration usual, Duration responseTime) {
        if (!settings.failClosed()) {
            return usual;
        }
        // While a watch is held, the configuration is confirmed as of the sending of the watch before it.
        Duration longest =
                settings.revocationTime().minus(MARGIN).minus(responseTime).dividedBy(2);
        Duration positive = longest.compareTo(Duration.ZERO) > 0 ? longest : Duration.ofMillis(1);
        return usual.compareTo(positive) < 0 ? usual : positive;
    }
}
