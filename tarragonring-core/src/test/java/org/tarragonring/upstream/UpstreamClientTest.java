package org.tarragonring.upstream;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.HostPort;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Upstreams that write what is no response to the request on their connection. */
class UpstreamClientTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final int READ_DELAY_MILLIS = 200;
    /** More than the kernels of both ends buffer, so that it is not sent whole before the upstream reads it. */
    private static final int UPLOAD_BYTES = 16 << 20;

    private static final String CALL_ID = "call-1";
    private static final String REFUSAL =
            "HTTP/1.1 404 Not Found\r\nX-Call-Id: call-1\r\nX-Verdict: not-run\r\nContent-Length: 0\r\n\r\n";
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Call-Id: call-1\r\nContent-Length: 2\r\n\r\nok";

    private final Vertx vertx = Vertx.vertx();
    private final UpstreamClient client = UpstreamClient.create(vertx);
    private final AtomicInteger requests = new AtomicInteger();
    private final List<NetSocket> connections = new ArrayList<>();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    // Guards against a call that runs and is said not to have run: the upstream repeats its refusal of an earlier
    // attempt.
    @Test
    void repeatedRefusalIsNotTakenForTheResponseToALaterAttempt() throws Exception {
        HostPort upstream =
                listen((socket, number) -> socket.write(requests.get() == 1 || number > 1 ? REFUSAL : RESPONSE));

        assertTrue(send(upstream).isNotRun());

        assertFalse(send(upstream).isNotRun());
        assertEquals(2, connections.size());
    }

    // Guards against a late copy of the refusal of one call that is read as the response to the next one.
    @Test
    void eachCallHasAConnectionOfItsOwn() throws Exception {
        HostPort upstream = listen((socket, number) -> socket.write(RESPONSE));

        for (int i = 1; i <= 3; i++) {
            UpstreamResponse response = send(upstream);
            assertEquals("ok", await(response.readBody()).toString());
            assertEquals(i, connections.size());
        }
    }

    // Guards against a success with an empty or short body after an upstream has stopped in the middle of its head.
    @Test
    void responseWhoseHeadBreaksOffMayHaveRun() throws Exception {
        for (int length = 0; length <= RESPONSE.indexOf("\r\n\r\n") + 3; length++) {
            String part = RESPONSE.substring(0, length);
            HostPort upstream = listen((socket, number) -> socket.end(Buffer.buffer(part)));

            ExecutionException failure = assertThrows(ExecutionException.class, () -> send(upstream), part);
            assertEquals(
                    Verdict.MAY_HAVE_RUN, CallException.of(failure.getCause()).verdict(), part);
        }
    }

    // Guards against a body that is shorter than its head says, and against a call that waits for the rest of one that
    // broke
    // off before the call had begun to read it.
    @Test
    void bodyThatBreaksOffIsNotComplete() throws Exception {
        HostPort upstream =
                listen((socket, number) -> socket.end(Buffer.buffer(RESPONSE.substring(0, RESPONSE.length() - 1))));

        UpstreamResponse response = send(upstream);
        TimeUnit.MILLISECONDS.sleep(READ_DELAY_MILLIS);

        assertThrows(ExecutionException.class, () -> await(response.readBody()));
    }

    // Guards against a status that is none and reaches the caller as a response.
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "199", "600", "999"})
    void statusThatIsNoFinalOneMayHaveRun(String status) throws Exception {
        HostPort upstream = listen((socket, number) -> socket.write(RESPONSE.replace("200", status)));

        ExecutionException failure = assertThrows(ExecutionException.class, () -> send(upstream));

        assertEquals(Verdict.MAY_HAVE_RUN, CallException.of(failure.getCause()).verdict());
    }

    // Guards against a part of a body that is taken for the whole one: its server failed before it had read the
    // request.
    @Test
    void bodyThatEndsWithItsConnectionBeforeTheRequestIsSentIsNotComplete() throws Exception {
        String response = RESPONSE.replace("Content-Length: 2\r\n", "");
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Future<UpstreamResponse> started = client.send(
                    request(new HostPort("127.0.0.1", server.getLocalPort()), Buffer.buffer(new byte[UPLOAD_BYTES])));
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(response.getBytes());
                socket.shutdownOutput();

                UpstreamResponse head = await(started);
                assertThrows(ExecutionException.class, () -> await(head.readBody()));
            }
        }
    }

    private UpstreamResponse send(HostPort upstream) throws Exception {
        return await(client.send(request(upstream, Buffer.buffer("body"))));
    }

    private static UpstreamRequest request(HostPort upstream, Buffer body) {
        return new UpstreamRequest(
                upstream, HttpMethod.POST, "/", MultiMap.caseInsensitiveMultiMap(), body, new CallId(CALL_ID));
    }

    private HostPort listen(Script script) throws Exception {
        NetServer server = vertx.createNetServer().connectHandler(socket -> {
            connections.add(socket);
            AtomicInteger number = new AtomicInteger();
            socket.handler(bytes -> {
                if (bytes.toString().contains("\r\n\r\nbody")) {
                    requests.incrementAndGet();
                    script.respond(socket, number.incrementAndGet());
                }
            });
        });
        return new HostPort("127.0.0.1", await(server.listen(0, "127.0.0.1")).actualPort());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Responds to a request, the given one on its connection. */
    private interface Script {

        void respond(NetSocket socket, int number);
    }
}
