package org.tarragonring.entry;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import org.tarragonring.caller.CallDependencies;
import org.tarragonring.caller.CallerHandler;
import org.tarragonring.caller.ConnectionLimiter;

/** Serves callers on one event loop. */
final class CallerServer extends VerticleBase {

    private final HttpServerOptions options;
    private final int port;
    private final String host;
    private final CallDependencies services;
    private final ConnectionLimiter guard;
    private volatile HttpServer server;

    CallerServer(HttpServerOptions options, int port, String host, CallDependencies services, ConnectionLimiter guard) {
        this.options = options;
        this.port = port;
        this.host = host;
        this.services = services;
        this.guard = guard;
    }

    @Override
    public Future<?> start() {
        Router router = new CallerHandler(vertx, services, guard).router();
        return vertx.createHttpServer(options)
                .connectionHandler(guard::onConnection)
                .requestHandler(router)
                .listen(port, host)
                .onSuccess(listening -> server = listening);
    }

    HttpServer server() {
        return server;
    }
}
