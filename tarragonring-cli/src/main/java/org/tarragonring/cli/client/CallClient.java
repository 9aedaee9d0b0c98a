package org.tarragonring.cli.client;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.tarragonring.ids.HostPort;

/**
 * Calls entries over HTTP as a model client does.
 *
 * @since 0.1.0
 */
public final class CallClient {

    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx runs the client, not null
     */
    public CallClient(Vertx vertx) {
        this(vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
    }

    /**
     * Creates a client over an HTTP client.
     *
     * @param client the HTTP client, not null
     */
    public CallClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Asks an entry which addresses to use for a model.
     *
     * @param entry the entry, not null
     * @param teamKey the team's key, not null
     * @param model the model or adapter, not null
     * @return the answer; fails if it was refused
     */
    public Future<JsonObject> resolve(HostPort entry, String teamKey, String model) {
        RequestOptions options = options(entry, HttpMethod.GET, "/v1/resolve?model=" + model, teamKey);
        return client.request(options)
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> {
                    if (response.statusCode() != OK) {
                        throw new IllegalStateException(body.toString());
                    }
                    return body.toJsonObject();
                }));
    }

    /**
     * Calls a model and streams its tokens.
     *
     * @param call the call, not null
     * @param tokens takes each token's text, not null
     * @return what came of it; never fails
     */
    public Future<CallResult> chat(ChatCall call, Consumer<String> tokens) {
        long startNanos = System.nanoTime();
        JsonObject body = new JsonObject()
                .put("model", call.model())
                .put("stream", true)
                .put("max_tokens", call.maxTokens())
                .put(
                        "messages",
                        new JsonArray().add(new JsonObject().put("role", "user").put("content", call.prompt())));
        RequestOptions options = options(call.entry(), HttpMethod.POST, "/v1/chat/completions", call.teamKey());
        options.putHeader("Content-Type", "application/json");
        return client.request(options)
                .compose(request -> request.send(body.toBuffer()))
                .compose(response ->
                        response.statusCode() == OK ? stream(response, tokens, startNanos) : refusal(response))
                .otherwise(failure -> lost(failure.getMessage()));
    }

    /**
     * Calls a plain service.
     *
     * @param entry the entry, not null
     * @param teamKey the team's key, not null
     * @param method the method, not null
     * @param path the path, not null
     * @param idempotencyKey the key, null for none
     * @param body the body, not null
     * @return what came of it; never fails
     */
    public Future<CallResult> service(
            HostPort entry, String teamKey, HttpMethod method, String path, String idempotencyKey, String body) {
        long startNanos = System.nanoTime();
        RequestOptions options = options(entry, method, path, teamKey);
        if (idempotencyKey != null) {
            options.putHeader("Idempotency-Key", idempotencyKey);
        }
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)))
                .compose(response -> response.statusCode() == OK
                        ? response.body()
                                .map(answer -> new CallResult(
                                        CallResult.Outcome.ANSWERED, "", "", answer.toString(), 0, since(startNanos)))
                        : refusal(response))
                .otherwise(failure -> lost(failure.getMessage()));
    }

    private static RequestOptions options(HostPort entry, HttpMethod method, String path, String teamKey) {
        return new RequestOptions()
                .setHost(entry.host())
                .setPort(entry.port())
                .setMethod(method)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + teamKey);
    }

    private static Future<CallResult> stream(HttpClientResponse response, Consumer<String> tokens, long startNanos) {
        Promise<CallResult> promise = Promise.promise();
        StringBuilder text = new StringBuilder();
        int[] count = {0};
        double[] firstMillis = {-1};
        RecordParser parser = RecordParser.newDelimited("\n\n", response);
        parser.exceptionHandler(failure -> promise.tryComplete(lost(String.valueOf(failure.getMessage()))));
        parser.endHandler(ended -> promise.tryComplete(lost("the stream ended early")));
        parser.handler(event -> {
            String record = event.toString();
            String data = record.substring(record.indexOf("data: ") + "data: ".length());
            if (data.equals("[DONE]")) {
                promise.tryComplete(
                        new CallResult(CallResult.Outcome.ANSWERED, "", "", text.toString(), count[0], firstMillis[0]));
            } else if (record.startsWith("event: error")) {
                promise.tryComplete(refused(new JsonObject(data)));
            } else {
                String token = new JsonObject(data)
                        .getJsonArray("choices")
                        .getJsonObject(0)
                        .getJsonObject("delta")
                        .getString("content");
                if (count[0]++ == 0) {
                    firstMillis[0] = since(startNanos);
                }
                text.append(token);
                tokens.accept(token);
            }
        });
        return promise.future();
    }

    private static Future<CallResult> refusal(HttpClientResponse response) {
        return response.body().map(body -> {
            try {
                return refused(body.toJsonObject());
            } catch (DecodeException e) {
                return lost("status %d without an error body".formatted(response.statusCode()));
            }
        });
    }

    private static CallResult refused(JsonObject body) {
        JsonObject error = body.getJsonObject("error");
        return new CallResult(
                CallResult.Outcome.REFUSED,
                error.getString("code"),
                error.getString("verdict"),
                error.getString("message"),
                0,
                -1);
    }

    private static CallResult lost(String why) {
        return new CallResult(CallResult.Outcome.LOST, "lost", "may-have-run", why, 0, -1);
    }

    private static double since(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
