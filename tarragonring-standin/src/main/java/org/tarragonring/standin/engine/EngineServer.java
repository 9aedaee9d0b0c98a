package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.SlotId;
import org.tarragonring.objects.Json;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.OrderOutcome;
import org.tarragonring.upstream.UpstreamHeaders;

/**
 * Serves a stand-in engine over HTTP. A generated token depends only on the prompt and the token's number, which
 * allows tests to verify resumed streams.
 *
 * @since 0.1.0
 */
public final class EngineServer {

    private static final int STATUS_INSUFFICIENT_STORAGE = 507;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int DEFAULT_MAX_TOKENS = 16;
    // Each full batch of calls in flight makes the interval between two tokens longer by one token interval.
    private static final int BATCH_SIZE = 16;
    // A prompt that contains this text crashes the engine.
    private static final String CRASH_TRIGGER = "crash-engine";

    private final Vertx vertx;
    private final StandInEngine engine;
    private final Set<Integer> cachedPrefixes = ConcurrentHashMap.newKeySet();
    private final AtomicLong sentTokens = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong startedCalls = new AtomicLong();
    private volatile Duration extraDelay = Duration.ZERO;
    private volatile long brokenAfterTokens = Long.MAX_VALUE;
    private volatile Consumer<HttpServerResponse> continuation;
    private HttpServer server;
    private HostPort address;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server, not null
     * @param engine the engine to serve, not null
     */
    public EngineServer(Vertx vertx, StandInEngine engine) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.engine = Objects.requireNonNull(engine, "engine");
    }

    /**
     * Returns the text of a token of the response to a prompt.
     *
     * @param prompt the content of the last message of the request, not null
     * @param number the position of the token in the response, 1 or more
     * @return the token's text, never null
     */
    public static String tokenText(String prompt, long number) {
        return Integer.toHexString(prompt.hashCode()) + "-" + number + " ";
    }

    /**
     * Starts listening.
     *
     * @param listenAddress the address to bind, not null; port 0 chooses a free port
     * @return completes with the bound address
     */
    public Future<HostPort> start(HostPort listenAddress) {
        return vertx.createHttpServer()
                .requestHandler(createRouter())
                .listen(listenAddress.port(), listenAddress.host())
                .map(listening -> {
                    server = listening;
                    address = new HostPort(listenAddress.host(), listening.actualPort());
                    return address;
                });
    }

    /**
     * Closes all connections and stops listening, as if the process had died.
     *
     * @return completes when the port is closed; already completed if the server was never started
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Returns the engine that this server serves.
     *
     * @return the engine, never null
     */
    public StandInEngine engine() {
        return engine;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address, or null if the server has not been started
     */
    public HostPort address() {
        return address;
    }

    /**
     * Delays the first token of every call in addition to the times of the profile.
     *
     * @param delay the additional delay, not null
     */
    public void setExtraDelay(Duration delay) {
        extraDelay = delay;
    }

    /**
     * Breaks off all streams after a number of tokens, and responds to calls that resume a stream in another way.
     *
     * @param tokens the number of tokens
     * @param response writes the response to a call that resumes a stream, not null
     */
    public void breakStreams(long tokens, Consumer<HttpServerResponse> response) {
        brokenAfterTokens = tokens;
        continuation = Objects.requireNonNull(response, "response");
    }

    /**
     * Returns the number of tokens sent since the server was created.
     *
     * @return the number, 0 or more
     */
    public long sentTokens() {
        return sentTokens.get();
    }

    /**
     * Returns how often a request crashed the engine.
     *
     * @return the number, 0 or more
     */
    public long crashes() {
        return crashes.get();
    }

    /**
     * Returns the number of calls that the engine has started to run.
     *
     * @return the number, 0 or more
     */
    public long startedCalls() {
        return startedCalls.get();
    }

    private Router createRouter() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.get("/status")
                .handler(routing ->
                        engine.status().subscribe().with(status -> routing.end(Buffer.buffer(Json.write(status)))));
        router.post("/orders").handler(this::handleOrder);
        router.post("/v1/chat/completions").handler(this::handleChat);
        return router;
    }

    private void handleOrder(RoutingContext routing) {
        EngineOrder order = Json.read(routing.body().buffer().getBytes(), EngineOrder.class);
        engine.execute(
                order,
                outcome ->
                        routing.response().setStatusCode(toHttpStatus(outcome)).end());
    }

    private static int toHttpStatus(OrderOutcome outcome) {
        return switch (outcome) {
            case ACCEPTED -> 200;
            case STALE_FENCE -> STATUS_CONFLICT;
            case NO_MEMORY -> STATUS_INSUFFICIENT_STORAGE;
            default -> STATUS_UNAVAILABLE;
        };
    }

    private void handleChat(RoutingContext routing) {
        HttpServerRequest request = routing.request();
        HttpServerResponse response = routing.response();
        String callId = request.getHeader(UpstreamHeaders.CALL_ID);
        if (callId != null) {
            response.putHeader(UpstreamHeaders.CALL_ID, callId);
        }
        SlotId slot = new SlotId(request.getHeader(UpstreamHeaders.SLOT));
        if (!engine.beginCall(slot, request.getHeader(UpstreamHeaders.ADAPTER))) {
            response.putHeader(UpstreamHeaders.VERDICT, Verdict.NOT_RUN.text());
            response.setStatusCode(UpstreamHeaders.STATUS_NOT_LOADED).end();
            return;
        }
        startedCalls.incrementAndGet();
        JsonObject body = routing.body().asJsonObject();
        JsonArray messages = body.getJsonArray("messages");
        String prompt = messages.getJsonObject(messages.size() - 1).getString("content", "");
        if (messages.encode().contains(CRASH_TRIGGER)) {
            crash(slot);
            return;
        }
        long resumeFrom =
                Long.parseLong(Objects.requireNonNullElse(request.getHeader(UpstreamHeaders.RESUME_FROM), "0"));
        if (resumeFrom > 0 && continuation != null) {
            engine.endCall(slot);
            continuation.accept(response);
            return;
        }
        Generation generation =
                new Generation(slot, prompt, resumeFrom, body.getInteger("max_tokens", DEFAULT_MAX_TOKENS), response);
        response.closeHandler(closed -> generation.end());
        boolean prefixCached = !cachedPrefixes.add(messages.encode().hashCode());
        long delayMillis = extraDelay.toMillis()
                + engine.profile().timeToFirstToken().toMillis()
                + (prefixCached ? 0 : engine.profile().prefillTime().toMillis());
        boolean stream = body.getBoolean("stream", false);
        vertx.setTimer(Math.max(1, delayMillis), id -> {
            if (stream) {
                generation.startStream();
            } else {
                generation.sendWholeResponse();
            }
        });
    }

    /** Simulates a crash: restarts the engine without loaded models and closes its connections. */
    private void crash(SlotId slot) {
        crashes.incrementAndGet();
        engine.endCall(slot);
        engine.restart();
        HttpServer crashedServer = server;
        crashedServer.close().onComplete(closed -> start(address));
    }

    private final class Generation {

        private final SlotId slot;
        private final String prompt;
        private final int maxTokens;
        private final HttpServerResponse response;
        private long lastTokenNumber;
        private boolean ended;

        private Generation(SlotId slot, String prompt, long resumeFrom, int maxTokens, HttpServerResponse response) {
            this.slot = slot;
            this.prompt = prompt;
            this.lastTokenNumber = resumeFrom;
            this.maxTokens = maxTokens;
            this.response = response;
        }

        private void startStream() {
            response.setChunked(true);
            response.putHeader("Content-Type", "text/event-stream");
            sendNextToken();
        }

        private void sendNextToken() {
            if (ended || response.closed()) {
                end();
                return;
            }
            if (lastTokenNumber >= brokenAfterTokens) {
                response.reset();
                end();
                return;
            }
            if (lastTokenNumber >= maxTokens) {
                response.end("data: [DONE]\n\n");
                end();
                return;
            }
            if (response.writeQueueFull()) {
                response.drainHandler(drained -> sendNextToken());
                return;
            }
            lastTokenNumber++;
            sentTokens.incrementAndGet();
            JsonObject delta = new JsonObject().put("content", tokenText(prompt, lastTokenNumber));
            JsonObject chunk = new JsonObject()
                    .put("object", "chat.completion.chunk")
                    .put(
                            "choices",
                            new JsonArray().add(new JsonObject().put("index", 0).put("delta", delta)));
            response.write("id: " + lastTokenNumber + "\ndata: " + chunk.encode() + "\n\n");
            long intervalMillis =
                    engine.profile().tokenInterval().toMillis() * (1 + engine.callsInFlight() / BATCH_SIZE);
            if (intervalMillis == 0) {
                vertx.getOrCreateContext().runOnContext(ignored -> sendNextToken());
            } else {
                vertx.setTimer(intervalMillis, id -> sendNextToken());
            }
        }

        private void sendWholeResponse() {
            if (ended || response.closed()) {
                end();
                return;
            }
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= maxTokens; i++) {
                text.append(tokenText(prompt, i));
            }
            sentTokens.addAndGet(maxTokens);
            JsonObject message = new JsonObject().put("role", "assistant").put("content", text.toString());
            response.putHeader("Content-Type", "application/json");
            response.end(new JsonObject()
                    .put("object", "chat.completion")
                    .put(
                            "choices",
                            new JsonArray().add(new JsonObject().put("index", 0).put("message", message)))
                    .toBuffer());
            end();
        }

        private void end() {
            if (!ended) {
                ended = true;
                engine.endCall(slot);
            }
        }
    }
}
