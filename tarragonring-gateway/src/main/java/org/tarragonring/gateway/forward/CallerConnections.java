package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import io.vertx.core.http.HttpConnection;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * The open connections of callers. Tells a call when its caller disconnects, and closes connections on which nothing
 * arrives for too long while no call is in progress.
 *
 * <p>Not thread-safe.
 */
final class CallerConnections {

    /**
     * The time added to the configured idle timeout. Callers may reuse a connection until that timeout, so it must not
     * be closed earlier.
     */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofSeconds(10);

    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    private final Supplier<Duration> idleTimeout;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<HttpConnection, Activity> connections = new HashMap<>();
    private Timers.Task periodicCheck = () -> {};

    /**
     * Creates an instance without connections.
     *
     * @param idleTimeout returns how long callers may keep an unused connection, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the checks for idle connections, not null
     */
    CallerConnections(Supplier<Duration> idleTimeout, MonotonicClock clock, Timers timers) {
        this.idleTimeout = Objects.requireNonNull(idleTimeout, "idleTimeout");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    void start() {
        periodicCheck = timers.scheduleWithFixedDelay(CHECK_PERIOD, this::closeIdle);
    }

    void stop() {
        periodicCheck.cancel();
    }

    void onOpened(HttpConnection connection) {
        connections.put(connection, new Activity(clock.millis()));
        connection.closeHandler(closed -> onClosed(connection));
    }

    /** Handles a part of a request. */
    void onReceived(HttpConnection connection) {
        Activity activity = connections.get(connection);
        if (activity != null) {
            activity.lastMillis = clock.millis();
        }
    }

    /**
     * Records that a call is in progress on a connection. The next call may start before the end of one is recorded, if
     * its caller does not wait for the response.
     *
     * @param call identifies the call
     * @param onDisconnect runs if the caller disconnects before the call ends
     */
    void onCallStarted(HttpConnection connection, Object call, Runnable onDisconnect) {
        Activity activity = connections.get(connection);
        if (activity == null) {
            onDisconnect.run();
        } else {
            activity.onDisconnect.put(call, onDisconnect);
        }
    }

    void onCallEnded(HttpConnection connection, Object call) {
        Activity activity = connections.get(connection);
        if (activity != null) {
            activity.onDisconnect.remove(call);
            activity.lastMillis = clock.millis();
        }
    }

    int size() {
        return connections.size();
    }

    private void onClosed(HttpConnection connection) {
        Activity activity = connections.remove(connection);
        if (activity != null) {
            List.copyOf(activity.onDisconnect.values()).forEach(Runnable::run);
        }
    }

    private void closeIdle() {
        long idleSinceMillis =
                clock.millis() - idleTimeout.get().plus(IDLE_TIMEOUT_MARGIN).toMillis();
        List<HttpConnection> idle = connections.entrySet().stream()
                .filter(entry ->
                        entry.getValue().onDisconnect.isEmpty() && entry.getValue().lastMillis < idleSinceMillis)
                .map(Map.Entry::getKey)
                .toList();
        idle.forEach(HttpConnection::close);
    }

    private static final class Activity {

        private long lastMillis;
        /** The actions of the calls in progress. */
        private final Map<Object, Runnable> onDisconnect = new IdentityHashMap<>(1);

        private Activity(long lastMillis) {
            this.lastMillis = lastMillis;
        }
    }
}
