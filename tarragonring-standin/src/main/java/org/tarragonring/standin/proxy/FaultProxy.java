package org.tarragonring.standin.proxy;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.tarragonring.ids.HostPort;

/**
 * Relays TCP connections to a target and simulates network faults: it can delay the data, drop the data of one
 * direction or of the connections that are open, or close or refuse connections.
 *
 * @since 0.1.0
 */
public final class FaultProxy {

    private final Vertx vertx;
    private final HostPort target;
    private final NetClient client;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<NetSocket> silencedSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.FORWARD;
    private volatile Duration delay = Duration.ZERO;
    private NetServer server;

    /**
     * Creates a proxy that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the proxy, not null
     * @param target the address to which connections are relayed, not null
     */
    public FaultProxy(Vertx vertx, HostPort target) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.target = Objects.requireNonNull(target, "target");
        this.client = vertx.createNetClient();
    }

    /**
     * Starts listening on a free port of the target's host.
     *
     * @return completes with the proxy's address
     */
    public Future<HostPort> start() {
        return vertx.createNetServer()
                .connectHandler(this::accept)
                .listen(0, target.host())
                .map(listening -> {
                    server = listening;
                    return new HostPort(target.host(), listening.actualPort());
                });
    }

    /**
     * Stops listening and closes all connections.
     *
     * @return completes when the port is closed; already completed if the proxy was never started
     */
    public Future<Void> stop() {
        closeConnections();
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Changes how connections and the data received from now on are handled. {@link Mode#REFUSE} also closes all open
     * connections.
     *
     * @param newMode the mode, not null
     */
    public void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.REFUSE) {
            closeConnections();
        }
    }

    /**
     * Delays all data received from now on.
     *
     * @param newDelay the delay in each direction, not null
     */
    public void setDelay(Duration newDelay) {
        delay = newDelay;
    }

    /** Closes all open connections; new ones are still accepted. */
    public void closeConnections() {
        sockets.forEach(NetSocket::close);
        sockets.clear();
    }

    /** Drops all data of the open connections from now on, without closing them; new connections work. */
    public void silenceConnections() {
        silencedSockets.addAll(sockets);
    }

    private void accept(NetSocket caller) {
        if (mode == Mode.REFUSE) {
            caller.close();
            return;
        }
        caller.pause();
        client.connect(target.port(), target.host())
                .onSuccess(upstream -> relay(caller, upstream))
                .onFailure(failure -> caller.close());
    }

    private void relay(NetSocket caller, NetSocket upstream) {
        sockets.add(caller);
        sockets.add(upstream);
        caller.handler(data -> handleData(caller, upstream, data, false));
        upstream.handler(data -> handleData(upstream, caller, data, true));
        caller.closeHandler(closed -> onClosed(caller, upstream));
        upstream.closeHandler(closed -> onClosed(upstream, caller));
        caller.resume();
    }

    private void handleData(NetSocket from, NetSocket to, Buffer data, boolean isResponse) {
        if (silencedSockets.contains(from)) {
            return;
        }
        switch (mode) {
            case FORWARD -> forward(to, data);
            case DROP_RESPONSES -> {
                if (!isResponse) {
                    forward(to, data);
                }
            }
            case CLOSE_ON_RESPONSE -> {
                if (isResponse) {
                    from.close();
                    to.close();
                } else {
                    forward(to, data);
                }
            }
            case DROP_REQUESTS -> {
                if (isResponse) {
                    forward(to, data);
                }
            }
            default -> from.close();
        }
    }

    private void forward(NetSocket to, Buffer data) {
        if (delay.isZero()) {
            to.write(data);
        } else {
            vertx.setTimer(delay.toMillis(), id -> to.write(data));
        }
    }

    private void onClosed(NetSocket closed, NetSocket other) {
        sockets.remove(closed);
        silencedSockets.remove(closed);
        other.close();
    }

    /** How connections and their data are handled. */
    public enum Mode {
        /** Forwards all data. */
        FORWARD,
        /** Closes all connections, and new ones as soon as they are accepted. */
        REFUSE,
        /** Forwards requests and drops responses. */
        DROP_RESPONSES,
        /** Drops requests and forwards responses. */
        DROP_REQUESTS,
        /** Forwards requests and closes a connection when its response arrives. */
        CLOSE_ON_RESPONSE
    }
}
