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
 * Passes TCP connections on and delays, cuts or swallows what goes through, one direction at a time.
 *
 * @since 0.1.0
 */
public final class FaultProxy {

    private final Vertx vertx;
    private final HostPort target;
    private final NetClient client;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;
    private volatile Duration delay = Duration.ZERO;
    private NetServer server;

    /**
     * Creates a proxy that does not listen yet.
     *
     * @param vertx runs the proxy, not null
     * @param target where connections are passed on to, not null
     */
    public FaultProxy(Vertx vertx, HostPort target) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.target = Objects.requireNonNull(target, "target");
        this.client = vertx.createNetClient();
    }

    /**
     * Starts listening.
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
     * Stops listening and cuts every connection.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        cutAll();
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Changes what happens to everything that goes through from now on.
     *
     * @param newMode the fault, not null
     */
    public void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.REFUSE) {
            cutAll();
        }
    }

    /**
     * Delays everything that goes through from now on.
     *
     * @param newDelay how long, each way, not null
     */
    public void setDelay(Duration newDelay) {
        delay = newDelay;
    }

    /** Cuts every connection once. */
    public void cutAll() {
        sockets.forEach(NetSocket::close);
        sockets.clear();
    }

    private void accept(NetSocket caller) {
        if (mode == Mode.REFUSE) {
            caller.close();
            return;
        }
        caller.pause();
        client.connect(target.port(), target.host())
                .onSuccess(upstream -> join(caller, upstream))
                .onFailure(failure -> caller.close());
    }

    private void join(NetSocket caller, NetSocket upstream) {
        sockets.add(caller);
        sockets.add(upstream);
        caller.handler(data -> pass(caller, upstream, data, false));
        upstream.handler(data -> pass(upstream, caller, data, true));
        caller.closeHandler(closed -> end(caller, upstream));
        upstream.closeHandler(closed -> end(upstream, caller));
        caller.resume();
    }

    private void pass(NetSocket from, NetSocket to, Buffer data, boolean isAnswer) {
        switch (mode) {
            case PASS -> forward(to, data);
            case SWALLOW_ANSWERS -> {
                if (!isAnswer) {
                    forward(to, data);
                }
            }
            case CUT_AT_ANSWER -> {
                if (isAnswer) {
                    from.close();
                    to.close();
                } else {
                    forward(to, data);
                }
            }
            case SWALLOW_REQUESTS -> {
                if (isAnswer) {
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

    private void end(NetSocket closed, NetSocket other) {
        sockets.remove(closed);
        other.close();
    }

    /** What happens to what goes through. */
    public enum Mode {
        /** Everything passes. */
        PASS,
        /** Connections are cut and refused. */
        REFUSE,
        /** Requests pass and answers vanish. */
        SWALLOW_ANSWERS,
        /** Requests vanish and answers pass. */
        SWALLOW_REQUESTS,
        /** Requests pass and a connection is cut when its answer comes. */
        CUT_AT_ANSWER
    }
}
