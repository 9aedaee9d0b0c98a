package org.tarragonring.standin.proxy;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.tarragonring.ids.HostPort;

/**
 * Relays TCP connections to a target and simulates network faults: it can delay the data, bound their rate, drop the data
 * of one direction or of the connections that are open, or close or refuse connections.
 *
 * @since 0.1.0
 */
public final class FaultProxy {

    /** Keeps the system from accepting much more than a link of a bounded rate has relayed. */
    private static final int BUFFER_BYTES = 16 << 10;

    private final Vertx vertx;
    private final HostPort target;
    private final NetClient client;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<NetSocket> silencedSockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.FORWARD;
    private volatile Duration delay = Duration.ZERO;
    private Optional<NarrowLink> requestLink = Optional.empty();
    private Optional<NarrowLink> responseLink = Optional.empty();
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
        NetServerOptions options = new NetServerOptions();
        if (requestLink.isPresent()) {
            options.setReceiveBufferSize(BUFFER_BYTES);
        }
        return vertx.createNetServer(options)
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

    /**
     * Bounds the rate of the data. All connections share it. Must be invoked before the start.
     *
     * @param bytesPerSecond the rate in each direction, above 0
     */
    public void setMaxBytesPerSecond(int bytesPerSecond) {
        requestLink = Optional.of(new NarrowLink(vertx, bytesPerSecond));
        responseLink = Optional.of(new NarrowLink(vertx, bytesPerSecond));
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
        upstream.closeHandler(closed -> onUpstreamClosed(caller, upstream));
        caller.resume();
    }

    private void handleData(NetSocket from, NetSocket to, Buffer data, boolean isResponse) {
        if (silencedSockets.contains(from)) {
            return;
        }
        switch (mode) {
            case FORWARD -> forward(from, to, data, isResponse);
            case DROP_RESPONSES -> {
                if (!isResponse) {
                    forward(from, to, data, false);
                }
            }
            case CLOSE_ON_RESPONSE -> {
                if (isResponse) {
                    from.close();
                    to.close();
                } else {
                    forward(from, to, data, false);
                }
            }
            case DROP_REQUESTS -> {
                if (isResponse) {
                    forward(from, to, data, true);
                }
            }
            default -> from.close();
        }
    }

    private void forward(NetSocket from, NetSocket to, Buffer data, boolean isResponse) {
        if (isResponse && responseLink.isPresent()) {
            responseLink.get().send(to, data, () -> {});
        } else if (requestLink.isPresent()) {
            from.pause();
            requestLink.get().send(to, data, from::resume);
        } else if (delay.isZero()) {
            to.write(data);
        } else {
            vertx.setTimer(delay.toMillis(), id -> to.write(data));
        }
    }

    /** Closes the connection to the caller when what has arrived before is no longer on the link. */
    private void onUpstreamClosed(NetSocket caller, NetSocket upstream) {
        if (responseLink.isPresent()) {
            sockets.remove(upstream);
            responseLink.get().send(caller, Buffer.buffer(), caller::end);
        } else {
            onClosed(upstream, caller);
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
