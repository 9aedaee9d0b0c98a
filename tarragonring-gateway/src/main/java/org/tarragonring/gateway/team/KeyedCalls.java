package org.tarragonring.gateway.team;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.entry.Clocks;
import org.tarragonring.gateway.follow.StoreWatcher;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.EntryId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.team.KeyFreshness;
import org.tarragonring.policy.team.KeySettings;
import org.tarragonring.time.Timers;

/**
 * Follows whether this entry may serve calls with keys, and reports to operators when that changes.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class KeyedCalls {

    /** Tells callers and operators why calls with keys are refused. */
    static final String UNCONFIRMED_REASON =
            "calls with keys are refused, as the store has not confirmed recently that the configuration in force is the newest";

    /**
     * How long before calls with keys would be refused the configuration is requested beside the watch: the time for two
     * requests. A watch may hang for seconds while the store responds to other requests.
     */
    private static final Duration REQUEST_AHEAD = Duration.ofMillis(700);

    /** How late a change may be logged; bounds the number of checks. */
    private static final Duration MIN_CHECK_DELAY = Duration.ofMillis(200);

    private final EntryId self;
    private final Supplier<Optional<ServingConfig>> config;
    private final KeyFreshness freshness;
    private final Timers timers;
    private Supplier<Uni<?>> configRequest = () -> Uni.createFrom().voidItem();
    private BooleanSupplier isStoredVersionReadable = () -> true;
    private boolean requestInProgress;
    private Timers.Task nextCheck = () -> {};
    private boolean refusing;

    /**
     * Creates an instance that is not started.
     *
     * @param self the id of this entry, not null
     * @param settings tells whether and when calls with keys are refused, not null
     * @param config returns the configuration in force, not null
     * @param clocks the monotonic and the wall clock, not null
     * @param timers schedules the checks, not null
     * @param metrics holds the gauges, not null
     */
    public KeyedCalls(
            EntryId self,
            KeySettings settings,
            Supplier<Optional<ServingConfig>> config,
            Clocks clocks,
            Timers timers,
            GatewayMetrics metrics) {
        this.self = Objects.requireNonNull(self, "self");
        this.config = Objects.requireNonNull(config, "config");
        this.freshness = new KeyFreshness(settings, clocks.monotonic(), clocks.wall());
        this.timers = Objects.requireNonNull(timers, "timers");
        metrics.registerGauge("tarragonring.keys.refused", () -> refusalReason().isPresent() ? 1 : 0);
        metrics.registerGauge("tarragonring.keys.confirmed.age.ms", freshness::ageMillis);
    }

    /** Starts to log changes, if calls with keys depend on a recent configuration at all. */
    public void start() {
        if (freshness.isBounded()) {
            check();
        }
    }

    /** Stops to log changes. */
    public void stop() {
        nextCheck.cancel();
    }

    /**
     * Learns from the watcher of the configuration as of when it is confirmed. A stored version that cannot be read
     * confirms nothing, as it may have taken keys away.
     *
     * @param configWatcher the watcher, not started; not null
     * @param request requests the configuration once and puts it in force, not null
     * @param storedVersionReadable tells whether the stored version could be read, not null
     */
    public void follow(StoreWatcher configWatcher, Supplier<Uni<?>> request, BooleanSupplier storedVersionReadable) {
        configRequest = Objects.requireNonNull(request, "request");
        isStoredVersionReadable = Objects.requireNonNull(storedVersionReadable, "storedVersionReadable");
        if (freshness.isBounded()) {
            configWatcher.onRequestSent(this::onRequestSent);
        }
    }

    private Runnable onRequestSent() {
        Runnable confirm = freshness.onRequestSent();
        return () -> {
            if (isStoredVersionReadable.getAsBoolean()) {
                confirm.run();
            }
        };
    }

    /**
     * Returns how long the store may hold a watch of the configuration.
     *
     * @param usual the time without regard to keys, not null
     * @param responseTime the longest time in which the store responds, not null
     * @return the usual time, or less where calls with keys would be refused otherwise; never null
     */
    public Duration watchTime(Duration usual, Duration responseTime) {
        return freshness.watchTime(usual, responseTime);
    }

    /**
     * Returns why calls with keys are refused.
     *
     * @return the reason, empty if they are served or the configuration has no teams
     */
    public Optional<String> refusalReason() {
        return !freshness.isFresh()
                        && config.get().flatMap(ServingConfig::teams).isPresent()
                ? Optional.of(UNCONFIRMED_REASON)
                : Optional.empty();
    }

    /**
     * Returns what finds the team of each call.
     *
     * @return the authenticator, never null
     */
    public CallAuthenticator authenticator() {
        return new CallAuthenticator(freshness);
    }

    private void check() {
        boolean refusesNow = refusalReason().isPresent();
        if (refusesNow != refusing) {
            refusing = refusesNow;
            LogEvent.KEYED_CALLS_SERVED.log(self, !refusing, freshness.ageMillis());
        }
        Duration remaining = Duration.ofMillis(freshness.remainingMillis()).minus(REQUEST_AHEAD);
        if (remaining.isNegative()) {
            requestConfig();
        }
        nextCheck =
                timers.schedule(remaining.compareTo(MIN_CHECK_DELAY) > 0 ? remaining : MIN_CHECK_DELAY, this::check);
    }

    private void requestConfig() {
        // The watch tells of the version after one that cannot be read.
        boolean isUseless = !isStoredVersionReadable.getAsBoolean();
        if (requestInProgress
                || isUseless
                || config.get().flatMap(ServingConfig::teams).isEmpty()) {
            return;
        }
        requestInProgress = true;
        Runnable confirm = onRequestSent();
        configRequest.get().subscribe().with(done -> onRequestEnded(confirm), failure -> {
            // The watcher logs that the store is unreachable; the next check sends the request again.
            onRequestEnded(() -> {});
        });
    }

    private void onRequestEnded(Runnable confirm) {
        requestInProgress = false;
        confirm.run();
    }
}
