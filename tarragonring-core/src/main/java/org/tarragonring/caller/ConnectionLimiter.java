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
 * Limits callers' connections: closes new connections beyond the maximum, and connections on which no complete request
 * arrives in time. A connection whose request has arrived is not closed while the request is being served, regardless
 * of the duration.
 *
 * @since 0.1.0
 */
public final class ConnectionLimiter {

    private final int maxConnections;
    private final Duration requestTimeout;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<HttpConnection, Activity> connections = new ConcurrentHashMap<>();
    private volatile Timers.Task timeoutCheck = () -> {};

    /**
     * Creates a limiter whose timeout checks are not started.
     *
     * @param maxConnections the maximum number of concurrent connections
     * @param requestTimeout the time within which a complete request must arrive, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the timeout checks, not null
     */
    public ConnectionLimiter(int maxConnections, Duration requestTimeout, MonotonicClock clock, Timers timers) {
        this.maxConnections = maxConnections;
        this.requestTimeout = Objects.requireNonNull(requestTimeout, "requestTimeout");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Starts the timeout checks. */
    public void start() {
        timeoutCheck = timers.scheduleWithFixedDelay(requestTimeout.dividedBy(2), this::closeTimedOut);
    }

    /** Stops the timeout checks. */
    public void stop() {
        timeoutCheck.cancel();
    }

    /**
     * Registers a new connection, or closes it if there are too many.
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
     * Tracks a request whose headers have arrived, and invokes the next handler.
     *
     * @param routing the context of the request, not null
     */
    public void onRequest(RoutingContext routing) {
        Activity activity = connections.get(routing.request().connection());
        if (activity != null) {
            activity.waitingSinceMillis = clock.millis();
            activity.requestsArriving.incrementAndGet();
            activity.requestsInProgress.incrementAndGet();
            routing.request().end().onComplete(ended -> activity.requestsArriving.decrementAndGet());
            routing.addEndHandler(ended -> {
                activity.requestsInProgress.decrementAndGet();
                activity.waitingSinceMillis = clock.millis();
            });
        }
        routing.next();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections, 0 or more
     */
    public int connections() {
        return connections.size();
    }

    private void closeTimedOut() {
        long nowMillis = clock.millis();
        connections.forEach((connection, activity) -> {
            boolean waiting = activity.requestsInProgress.get() == 0 || activity.requestsArriving.get() > 0;
            if (waiting && nowMillis - activity.waitingSinceMillis >= requestTimeout.toMillis()) {
                connection.close();
            }
        });
    }

    private static final class Activity {

        private final AtomicInteger requestsArriving = new AtomicInteger();
        private final AtomicInteger requestsInProgress = new AtomicInteger();
        private volatile long waitingSinceMillis;

        private Activity(long waitingSinceMillis) {
            this.waitingSinceMillis = waitingSinceMillis;
        }
    }
}
