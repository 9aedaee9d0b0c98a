package org.tarragonring.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.http.HttpConnection;
import io.vertx.ext.web.RoutingContext;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Bounds callers' connections: turns away those beyond the limit, and closes those that bring no whole request in time.
 * A connection whose request is being served is left alone however long that takes.
 *
 * @since 0.1.0
 */
public final class ConnectionGuard {

    private final int maxConnections;
    private final Duration requestTimeout;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<HttpConnection, Activity> connections = new ConcurrentHashMap<>();
    private volatile Timers.Task sweep = () -> {};

    /**
     * Creates a guard that does not run yet.
     *
     * @param maxConnections the most connections at once
     * @param requestTimeout how long a request may take to arrive, not null
     * @param clock the monotonic clock, not null
     * @param timers runs the checks, not null
     */
    public ConnectionGuard(int maxConnections, Duration requestTimeout, MonotonicClock clock, Timers timers) {
        this.maxConnections = maxConnections;
        this.requestTimeout = Objects.requireNonNull(requestTimeout, "requestTimeout");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Starts checking. */
    public void start() {
        sweep = timers.repeat(requestTimeout.dividedBy(2), this::closeSlow);
    }

    /** Stops checking. */
    public void stop() {
        sweep.cancel();
    }

    /**
     * Takes a new connection.
     *
     * @param connection the connection, not null
     */
    public void onConnection(HttpConnection connection) {
        if (connections.size() >= maxConnections) {
            connection.close();
            return;
        }
        connections.put(connection, new Activity(clock.millis()));
        connection.closeHandler(closed -> connections.remove(connection));
    }

    /**
     * Takes a request whose head has arrived, and passes it on.
     *
     * @param routing the request, not null
     */
    public void onRequest(RoutingContext routing) {
        Activity activity = connections.get(routing.request().connection());
        if (activity != null) {
            activity.waitsSinceMillis = clock.millis();
            activity.arriving.incrementAndGet();
            activity.serving.incrementAndGet();
            routing.request().end().onComplete(ended -> activity.arriving.decrementAndGet());
            routing.addEndHandler(ended -> {
                activity.serving.decrementAndGet();
                activity.waitsSinceMillis = clock.millis();
            });
        }
        routing.next();
    }

    /**
     * Returns the connections that are open.
     *
     * @return a count
     */
    public int connections() {
        return connections.size();
    }

    private void closeSlow() {
        long nowMillis = clock.millis();
        connections.forEach((connection, activity) -> {
            boolean waits = activity.serving.get() == 0 || activity.arriving.get() > 0;
            if (waits && nowMillis - activity.waitsSinceMillis >= requestTimeout.toMillis()) {
                connection.close();
            }
        });
    }

    private static final class Activity {

        private final AtomicInteger arriving = new AtomicInteger();
        private final AtomicInteger serving = new AtomicInteger();
        private volatile long waitsSinceMillis;

        private Activity(long waitsSinceMillis) {
            this.waitsSinceMillis = waitsSinceMillis;
        }
    }
}
