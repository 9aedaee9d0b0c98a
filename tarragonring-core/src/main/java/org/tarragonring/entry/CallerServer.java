package org.tarragonring.entry;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.tarragonring.caller.CallServices;
import org.tarragonring.caller.CallerHandler;

/** Serves callers on one event loop. */
final class CallerServer extends VerticleBase {

    private final HttpServerOptions options;
    private final int port;
    private final String host;
    private final CallServices services;
    private volatile HttpServer server;

    CallerServer(HttpServerOptions options, int port, String host, CallServices services) {
        this.options = options;
        this.port = port;
        this.host = host;
        this.services = services;
    }

    @Override
    public Future<?> start() {
        return vertx.createHttpServer(options)
                .requestHandler(new CallerHandler(vertx, services).router())
                .listen(port, host)
                .onSuccess(listening -> server = listening);
    }

    HttpServer server() {
        return server;
    }
}
