package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

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
 * Serves a stand-in engine over HTTP. The tokens of an answer depend on the prompt and the token's number only, so
 * that a resumed stream can be checked.
 *
 * @since 0.1.0
 */
public final class EngineServer {

    private static final int NO_MEMORY = 507;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int DEFAULT_TOKENS = 16;
    private static final int BATCH = 16;
    private static final String CRASH_MARK = "crash-engine";

    private final Vertx vertx;
    private final MemoryEngine engine;
    private final Set<Integer> cachedPrefixes = ConcurrentHashMap.newKeySet();
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong calls = new AtomicLong();
    private volatile Duration extraDelay = Duration.ZERO;
    private HttpServer server;
    private HostPort address;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs the server, not null
     * @param engine the engine, not null
     */
    public EngineServer(Vertx vertx, MemoryEngine engine) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.engine = Objects.requireNonNull(engine, "engine");
    }

    /**
     * Returns the token with a number in the answer to a prompt.
     *
     * @param prompt the last message's content, not null
     * @param number the token's number, 1 or more
     * @return its text
     */
    public static String token(String prompt, long number) {
        return Integer.toHexString(prompt.hashCode()) + "-" + number + " ";
    }

    /**
     * Starts listening.
     *
     * @param at where, not null; port 0 takes any
     * @return completes with the address in use
     */
    public Future<HostPort> start(HostPort at) {
        return vertx.createHttpServer()
                .requestHandler(router())
                .listen(at.port(), at.host())
                .map(listening -> {
                    server = listening;
                    address = new HostPort(at.host(), listening.actualPort());
                    return address;
                });
    }

    /**
     * Cuts every connection and stops listening, as a dying process would.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Returns the engine.
     *
     * @return the engine, never null
     */
    public MemoryEngine engine() {
        return engine;
    }

    /**
     * Returns where the engine listens.
     *
     * @return the address, null before the start
     */
    public HostPort address() {
        return address;
    }

    /**
     * Slows every call down.
     *
     * @param delay the time added before the first token, not null
     */
    public void setExtraDelay(Duration delay) {
        extraDelay = delay;
    }

    /**
     * Returns the tokens sent so far.
     *
     * @return a count
     */
    public long tokens() {
        return tokens.get();
    }

    /**
     * Returns how often a request crashed this engine.
     *
     * @return a count
     */
    public long crashes() {
        return crashes.get();
    }

    /**
     * Returns the calls that this engine began to run.
     *
     * @return a count
     */
    public long calls() {
        return calls.get();
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.get("/status")
                .handler(routing ->
                        engine.status().subscribe().with(status -> routing.end(Buffer.buffer(Json.write(status)))));
        router.post("/orders").handler(this::order);
        router.post("/v1/chat/completions").handler(this::chat);
        return router;
    }

    private void order(RoutingContext routing) {
        EngineOrder order = Json.read(routing.body().buffer().getBytes(), EngineOrder.class);
        engine.take(
                order,
                outcome -> routing.response().setStatusCode(status(outcome)).end());
    }

    private static int status(OrderOutcome outcome) {
        return switch (outcome) {
            case ACCEPTED -> 200;
            case STALE_FENCE -> CONFLICT;
            case NO_MEMORY -> NO_MEMORY;
            default -> UNAVAILABLE;
        };
    }

    private void chat(RoutingContext routing) {
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
        calls.incrementAndGet();
        JsonObject body = routing.body().asJsonObject();
        JsonArray messages = body.getJsonArray("messages");
        String prompt = messages.getJsonObject(messages.size() - 1).getString("content", "");
        if (prompt.contains(CRASH_MARK)) {
            crash(slot);
            return;
        }
        long resumeFrom =
                Long.parseLong(Objects.requireNonNullElse(request.getHeader(UpstreamHeaders.RESUME_FROM), "0"));
        Generation generation =
                new Generation(slot, prompt, resumeFrom, body.getInteger("max_tokens", DEFAULT_TOKENS), response);
        response.closeHandler(closed -> generation.end());
        boolean cached = !cachedPrefixes.add(messages.encode().hashCode());
        long delayMillis = extraDelay.toMillis()
                + engine.profile().firstToken().toMillis()
                + (cached ? 0 : engine.profile().prefill().toMillis());
        boolean stream = body.getBoolean("stream", false);
        vertx.setTimer(Math.max(1, delayMillis), id -> {
            if (stream) {
                generation.stream();
            } else {
                generation.whole();
            }
        });
    }

    /** Restarts the engine empty and cuts its connections. */
    private void crash(SlotId slot) {
        crashes.incrementAndGet();
        engine.endCall(slot);
        engine.restart();
        HttpServer dying = server;
        dying.close().onComplete(closed -> start(address));
    }

    private final class Generation {

        private final SlotId slot;
        private final String prompt;
        private final int maxTokens;
        private final HttpServerResponse response;
        private long sent;
        private boolean ended;

        private Generation(SlotId slot, String prompt, long resumeFrom, int maxTokens, HttpServerResponse response) {
            this.slot = slot;
            this.prompt = prompt;
            this.sent = resumeFrom;
            this.maxTokens = maxTokens;
            this.response = response;
        }

        private void stream() {
            response.setChunked(true);
            response.putHeader("Content-Type", "text/event-stream");
            next();
        }

        private void next() {
            if (ended || response.closed()) {
                end();
                return;
            }
            if (sent >= maxTokens) {
                response.end("data: [DONE]\n\n");
                end();
                return;
            }
            if (response.writeQueueFull()) {
                response.drainHandler(drained -> next());
                return;
            }
            sent++;
            tokens.incrementAndGet();
            JsonObject delta = new JsonObject().put("content", token(prompt, sent));
            JsonObject chunk = new JsonObject()
                    .put("object", "chat.completion.chunk")
                    .put(
                            "choices",
                            new JsonArray().add(new JsonObject().put("index", 0).put("delta", delta)));
            response.write("id: " + sent + "\ndata: " + chunk.encode() + "\n\n");
            long intervalMillis = engine.profile().tokenInterval().toMillis() * (1 + engine.inFlight() / BATCH);
            if (intervalMillis == 0) {
                vertx.getOrCreateContext().runOnContext(ignored -> next());
            } else {
                vertx.setTimer(intervalMillis, id -> next());
            }
        }

        private void whole() {
            if (ended || response.closed()) {
                end();
                return;
            }
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= maxTokens; i++) {
                text.append(token(prompt, i));
            }
            tokens.addAndGet(maxTokens);
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
