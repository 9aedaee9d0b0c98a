package org.tarragonring.entry;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import org.tarragonring.caller.CallDependencies;
import org.tarragonring.caller.CallerHandler;
import org.tarragonring.caller.ConnectionLimiter;

/** A verticle that runs one HTTP server for callers on its own event loop. */
final class CallerServer extends VerticleBase {

    private final HttpServerOptions options;
    private final int port;
    private final String host;
    private final CallDependencies callDependencies;
    private final ConnectionLimiter connectionLimiter;
    private volatile HttpServer server;

    CallerServer(
            HttpServerOptions options,
            int port,
            String host,
            CallDependencies callDependencies,
            ConnectionLimiter connectionLimiter) {
        this.options = options;
        this.port = port;
        this.host = host;
        this.callDependencies = callDependencies;
        this.connectionLimiter = connectionLimiter;
    }

    @Override
    public Future<?> start() {
        Router router = new CallerHandler(vertx, callDependencies, connectionLimiter).router();
        return vertx.createHttpServer(options)
                .connectionHandler(connectionLimiter::onConnection)
                .requestHandler(router)
                .listen(port, host)
                .onSuccess(startedServer -> server = startedServer);
    }

    /** Returns the HTTP server, or null before it listens. */
    HttpServer server() {
        return server;
    }
}
