package org.tarragonring.caller;

import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.codec.digest.MurmurHash3;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.ids.ModelName;

/**
 * The parts of a chat completion request that this system looks at.
 *
 * @param model the model or adapter called, not null
 * @param stream whether tokens are to be streamed
 * @param prefixHash the hash of the messages before the last one, by which replicas cache prefixes
 * @since 0.1.0
 */
public record ChatRequest(ModelName model, boolean stream, long prefixHash) {

    /**
     * Reads a request.
     *
     * @param body the body, not null
     * @return the parts
     * @throws CallException if the body is not a chat completion request
     */
    public static ChatRequest parse(Buffer body) {
        try {
            JsonObject json = new JsonObject(body);
            ModelName model = new ModelName(json.getString("model"));
            boolean stream = Boolean.TRUE.equals(json.getBoolean("stream", false));
            return new ChatRequest(model, stream, prefixHash(model, json.getJsonArray("messages")));
        } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
            throw CallException.notRun(
                    RefusalReason.BAD_REQUEST, "the body is not a chat completion request: " + e.getMessage());
        }
    }

    private static long prefixHash(ModelName model, JsonArray messages) {
        if (messages == null || messages.isEmpty()) {
            throw new IllegalArgumentException("messages are missing");
        }
        StringBuilder prefix = new StringBuilder(model.value());
        int count = Math.max(1, messages.size() - 1);
        for (int i = 0; i < count; i++) {
            prefix.append('\n').append(messages.getValue(i));
        }
        return MurmurHash3.hash128x64(prefix.toString().getBytes(StandardCharsets.UTF_8))[0];
    }
}
