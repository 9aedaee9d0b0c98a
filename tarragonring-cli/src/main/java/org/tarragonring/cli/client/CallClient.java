package org.tarragonring.cli.client;

import java.util.function.Consumer;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import org.tarragonring.ids.HostPort;

/**
 * Sends calls to entries over HTTP, as a model client does.
 *
 * @since 0.1.0
 */
public final class CallClient {

    private static final int STATUS_OK = 200;
    private static final int MAX_CONNECTIONS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final HttpClient client;

    /**
     * Creates a client with its own HTTP client and connection pool.
     *
     * @param vertx the Vert.x instance that runs the HTTP client, not null
     */
    public CallClient(Vertx vertx) {
        this(vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
    }

    /**
     * Creates a client that uses an existing HTTP client.
     *
     * @param client the HTTP client, not null
     */
    public CallClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Asks an entry which entries a caller should use for a model.
     *
     * @param entry the address of the entry to ask, not null
     * @param teamKey the team's key, not null
     * @param model the name of the model or adapter, not null
     * @return the response, with the caller addresses of the entries in {@code addresses}, in order of preference;
     *     fails with {@link IllegalStateException}, whose message is the response body, if the status is not 200
     */
    public Future<JsonObject> resolve(HostPort entry, String teamKey, String model) {
        RequestOptions options = options(entry, HttpMethod.GET, "/v1/resolve?model=" + model, teamKey);
        return send(
                options,
                Buffer.buffer(),
                response -> response.body().map(body -> {
                    if (response.statusCode() != STATUS_OK) {
                        throw new IllegalStateException(body.toString());
                    }
                    return body.toJsonObject();
                }));
    }

    /**
     * Calls a model and streams its tokens.
     *
     * @param call the call, not null
     * @param tokens receives the text of each token, not null
     * @return the result, never fails
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
        return send(
                        options,
                        body.toBuffer(),
                        response -> response.statusCode() == STATUS_OK
                                ? readStream(response, tokens, startNanos)
                                : readRefusal(response))
                .otherwise(failure -> lostResult(failure.getMessage()));
    }

    /**
     * Calls a plain service.
     *
     * @param entry the address of the entry that receives the call, not null
     * @param teamKey the team's key, not null
     * @param method the HTTP method, not null
     * @param path the path of the request, not null
     * @param idempotencyKey the idempotency key, or null to send none
     * @param body the body of the request, not null
     * @return the result, never fails
     */
    public Future<CallResult> service(
            HostPort entry, String teamKey, HttpMethod method, String path, String idempotencyKey, String body) {
        long startNanos = System.nanoTime();
        RequestOptions options = options(entry, method, path, teamKey);
        if (idempotencyKey != null) {
            options.putHeader("Idempotency-Key", idempotencyKey);
        }
        return send(
                        options,
                        Buffer.buffer(body),
                        response -> response.statusCode() == STATUS_OK
                                ? response.body()
                                        .map(responseBody -> new CallResult(
                                                CallResult.Outcome.ANSWERED,
                                                "",
                                                "",
                                                responseBody.toString(),
                                                0,
                                                millisSince(startNanos)))
                                : readRefusal(response))
                .otherwise(failure -> lostResult(failure.getMessage()));
    }

    /**
     * Sends a request and reads its response. The reader is set before the request is sent: the response may have arrived
     * completely before this method, which may run on any thread, returns, and nothing of it would be left to read.
     */
    private <T> Future<T> send(RequestOptions options, Buffer body, Function<HttpClientResponse, Future<T>> reader) {
        return client.request(options).compose(request -> {
            Future<T> result = request.response().compose(reader);
            request.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length()));
            request.end(body);
            return result;
        });
    }

    private static RequestOptions options(HostPort entry, HttpMethod method, String path, String teamKey) {
        return new RequestOptions()
                .setHost(entry.host())
                .setPort(entry.port())
                .setMethod(method)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + teamKey);
    }

    private static Future<CallResult> readStream(
            HttpClientResponse response, Consumer<String> tokens, long startNanos) {
        Promise<CallResult> promise = Promise.promise();
        StringBuilder text = new StringBuilder();
        int[] tokenCount = {0};
        double[] firstTokenMillis = {-1};
        RecordParser parser = RecordParser.newDelimited("\n\n", response);
        parser.exceptionHandler(failure -> promise.tryComplete(lostResult(String.valueOf(failure.getMessage()))));
        parser.endHandler(ended -> promise.tryComplete(lostResult("stream ended before the [DONE] event")));
        parser.handler(event -> {
            String record = event.toString();
            String data = record.substring(record.indexOf("data: ") + "data: ".length());
            if (data.equals("[DONE]")) {
                promise.tryComplete(new CallResult(
                        CallResult.Outcome.ANSWERED, "", "", text.toString(), tokenCount[0], firstTokenMillis[0]));
            } else if (record.startsWith("event: error")) {
                promise.tryComplete(refusedResult(new JsonObject(data)));
            } else {
                String token = new JsonObject(data)
                        .getJsonArray("choices")
                        .getJsonObject(0)
                        .getJsonObject("delta")
                        .getString("content");
                if (tokenCount[0]++ == 0) {
                    firstTokenMillis[0] = millisSince(startNanos);
                }
                text.append(token);
                tokens.accept(token);
            }
        });
        return promise.future();
    }

    private static Future<CallResult> readRefusal(HttpClientResponse response) {
        return response.body().map(body -> {
            try {
                return refusedResult(body.toJsonObject());
            } catch (DecodeException e) {
                return lostResult("response with status %d has no JSON error body".formatted(response.statusCode()));
            }
        });
    }

    private static CallResult refusedResult(JsonObject body) {
        JsonObject error = body.getJsonObject("error");
        return new CallResult(
                CallResult.Outcome.REFUSED,
                error.getString("code"),
                error.getString("verdict"),
                error.getString("message"),
                0,
                -1);
    }

    private static CallResult lostResult(String message) {
        return new CallResult(CallResult.Outcome.LOST, "lost", "may-have-run", message, 0, -1);
    }

    private static double millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
