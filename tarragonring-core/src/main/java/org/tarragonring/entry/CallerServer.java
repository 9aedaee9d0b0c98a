package org.tarragonring.entry;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import org.tarragonring.caller.CallServices;
import org.tarragonring.caller.CallerHandler;
import org.tarragonring.caller.ConnectionGuard;

/** Serves callers on one event loop. */
final class CallerServer extends VerticleBase {

    private final HttpServerOptions options;
    private final int port;
    private final String host;
    private final CallServices services;
    private final ConnectionGuard guard;
    private volatile HttpServer server;

    CallerServer(HttpServerOptions options, int port, String host, CallServices services, ConnectionGuard guard) {
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
