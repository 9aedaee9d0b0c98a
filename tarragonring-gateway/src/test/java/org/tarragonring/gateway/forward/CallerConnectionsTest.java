package org.tarragonring.gateway.forward;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Unused connections must not accumulate, and a connection must not be closed while its caller relies on it. */
class CallerConnectionsTest {

    private static final Duration MARGIN = Duration.ofSeconds(11);

    private long nowNanos;
    private Duration idleTimeout = Duration.ofSeconds(15);
    private final List<Runnable> timers = new ArrayList<>();
    private final Set<HttpConnection> closed = new HashSet<>();
    private final CallerConnections connections =
            new CallerConnections(() -> idleTimeout, () -> nowNanos, (delay, action) -> {
                timers.add(action);
                return () -> {};
            });
    private Handler<Void> closeHandler;
    private final HttpConnection connection = createConnection();

    @BeforeEach
    void open() {
        connections.start();
        connections.onOpened(connection);
    }

    @Test
    void connectionStaysOpenUntilTheIdleTimeoutOfCallers() {
        advance(idleTimeout);
        assertFalse(closed.contains(connection));
        advance(MARGIN);
        assertTrue(closed.contains(connection));
    }

    // Guards against the timeout of the start of the entry staying in force.
    @Test
    void idleTimeoutFollowsTheConfiguration() {
        idleTimeout = Duration.ofSeconds(60);
        advance(Duration.ofSeconds(59));
        assertFalse(closed.contains(connection));
    }

    @Test
    void connectionStaysOpenDuringACall() {
        connections.onCallStarted(connection, "call", () -> {});
        advance(idleTimeout.multipliedBy(10));
        assertFalse(closed.contains(connection));

        connections.onCallEnded(connection, "call");
        advance(idleTimeout.plus(MARGIN));
        assertTrue(closed.contains(connection));
    }

    @Test
    void connectionStaysOpenWhileARequestArrives() {
        for (int i = 0; i < 10; i++) {
            advance(idleTimeout);
            connections.onReceived(connection);
        }
        assertFalse(closed.contains(connection));
    }

    @Test
    void callLearnsThatItsCallerDisconnected() {
        List<String> events = new ArrayList<>();
        connections.onCallStarted(connection, "1", () -> events.add("first"));
        connections.onCallEnded(connection, "1");
        connections.onCallStarted(connection, "2", () -> events.add("second"));

        closeHandler.handle(null);

        assertEquals(List.of("second"), events);
        assertEquals(0, connections.size());
    }

    // Guards against a second pipelined call that goes on after its caller has left.
    @Test
    void endOfACallDoesNotConcernTheNextOneThatHasStartedBefore() {
        List<String> events = new ArrayList<>();
        connections.onCallStarted(connection, "1", () -> events.add("first"));
        connections.onCallStarted(connection, "2", () -> events.add("second"));
        connections.onCallEnded(connection, "1");
        advance(idleTimeout.multipliedBy(10));
        assertFalse(closed.contains(connection));

        closeHandler.handle(null);

        assertEquals(List.of("second"), events);
    }

    @Test
    void callOnAConnectionThatIsAlreadyClosedEndsAtOnce() {
        List<String> events = new ArrayList<>();
        closeHandler.handle(null);

        connections.onCallStarted(connection, "call", () -> events.add("ended"));

        assertEquals(List.of("ended"), events);
    }

    private void advance(Duration time) {
        for (long second = 0; second < time.toSeconds(); second++) {
            nowNanos += Duration.ofSeconds(1).toNanos();
            List<Runnable> due = List.copyOf(timers);
            timers.clear();
            due.forEach(Runnable::run);
        }
    }

    @SuppressWarnings("unchecked")
    private HttpConnection createConnection() {
        return (HttpConnection) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {HttpConnection.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "closeHandler" -> closeHandler = (Handler<Void>) arguments[0];
                        case "close" -> closed.add((HttpConnection) proxy);
                        case "hashCode" -> {
                            return System.identityHashCode(proxy);
                        }
                        case "equals" -> {
                            return proxy == arguments[0];
                        }
                        default -> throw new UnsupportedOperationException(method.getName());
                    }
                    return null;
                });
    }
}
