package org.tarragonring.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.ids.ModelName;

/**
 * Holds the parts of a chat completion request that are needed for routing.
 *
 * @param model the name of the called model or adapter, not null
 * @param stream whether the response is a stream of tokens
 * @param prefixHash the hash of the model name and all messages but the last one (the first one if it is the only
 *     one); calls with the same prefix can reuse a replica's prefix cache
 * @param sharedParts ids of the messages that other requests may have, too, in their order: all but the last one, {@value
 *     #MAX_SHARED_PARTS} at most; not null
 * @since 0.1.0
 */
public record ChatRequest(ModelName model, boolean stream, long prefixHash, List<String> sharedParts) {

    static final int MAX_SHARED_PARTS = 16;

    /** Makes an immutable copy of the list. */
    public ChatRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Parses a request body.
     *
     * @param body the body, not null
     * @return the parsed request, never null
     * @throws CallException if the body is not a valid chat completion request
     */
    public static ChatRequest parse(Buffer body) {
        try {
            JsonObject json = new JsonObject(body);
            ModelName model = new ModelName(json.getString("model"));
            boolean stream = Boolean.TRUE.equals(json.getBoolean("stream", false));
            JsonArray messages = json.getJsonArray("messages");
            return new ChatRequest(model, stream, prefixHash(model, messages), sharedParts(messages));
        } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
            throw CallException.notRun(
                    RefusalReason.BAD_REQUEST,
                    "request body is not a valid chat completion request: " + e.getMessage());
        }
    }

    /** Returns an id for each message before the last one, which belongs to the request itself. */
    private static List<String> sharedParts(JsonArray messages) {
        return messages.stream()
                .limit(Math.min(MAX_SHARED_PARTS, messages.size() - 1L))
                .map(message -> DigestUtils.sha256Hex(message.toString()))
                .toList();
    }

    private static long prefixHash(ModelName model, JsonArray messages) {
        if (messages == null || messages.isEmpty()) {
            throw new IllegalArgumentException("\"messages\" is missing or empty");
        }
        StringBuilder prefix = new StringBuilder(model.value());
        int prefixLength = Math.max(1, messages.size() - 1);
        for (int i = 0; i < prefixLength; i++) {
            prefix.append('\n').append(messages.getValue(i));
        }
        return MurmurHash3.hash128x64(prefix.toString().getBytes(StandardCharsets.UTF_8))[0];
    }
}
