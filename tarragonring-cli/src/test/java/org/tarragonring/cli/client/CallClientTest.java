package org.tarragonring.cli.client;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CallClientTest {

    private static final int TIMEOUT_SECONDS = 10;
    private static final long RESPONSE_ARRIVES_MILLIS = 300;
    private static final String REFUSAL =
            "{\"error\":{\"code\":\"quarantined\",\"verdict\":\"not-run\",\"message\":\"refused\"}}";

    private final Vertx vertx = Vertx.vertx();
    private HostPort server;

    @BeforeEach
    void start() throws Exception {
        int port = join(vertx.createHttpServer()
                        .requestHandler(request -> request.body()
                                .onSuccess(body ->
                                        request.response().setStatusCode(503).end(REFUSAL)))
                        .listen(0, "127.0.0.1"))
                .actualPort();
        server = new HostPort("127.0.0.1", port);
    }

    @AfterEach
    void stop() throws Exception {
        join(vertx.close());
    }

    // Guards against a call without an end: the response had arrived before the calling thread went on to read it.
    @Test
    void responseThatArrivesBeforeTheCallerGoesOnIsRead() throws Exception {
        CallClient client = new CallClient(withThreadThatIsSuspendedAfterSending(vertx.createHttpClient()));

        CallResult result = join(client.service(server, "key", HttpMethod.POST, "/x", null, "body"));

        assertEquals("quarantined", result.code());
    }

    private static HttpClient withThreadThatIsSuspendedAfterSending(HttpClient client) {
        return proxy(HttpClient.class, (proxy, method, arguments) -> {
            Object result = method.invoke(client, arguments);
            return method.getName().equals("request")
                    ? Future.succeededFuture(suspendedAfterSending((HttpClientRequest) join((Future<?>) result)))
                    : result;
        });
    }

    private static HttpClientRequest suspendedAfterSending(HttpClientRequest request) {
        return proxy(HttpClientRequest.class, (proxy, method, arguments) -> {
            Object result = method.invoke(request, arguments);
            if (method.getName().equals("send") || method.getName().equals("end")) {
                TimeUnit.MILLISECONDS.sleep(RESPONSE_ARRIVES_MILLIS);
            }
            return result;
        });
    }

    private static <T> T proxy(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    private static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
