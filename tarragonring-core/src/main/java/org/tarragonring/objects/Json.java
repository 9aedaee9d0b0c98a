package org.tarragonring.objects;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes the JSON of records and messages.
 *
 * @since 0.1.0
 */
public final class Json {

    /** The mapper that all records and messages use; it ignores properties it does not know. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /**
     * Writes a value as JSON.
     *
     * @param value the value, may be null
     * @return UTF-8 bytes
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException("value of %s cannot be written as JSON".formatted(value.getClass()), e);
        }
    }

    /**
     * Reads a value from JSON.
     *
     * @param <T> the value's type
     * @param bytes UTF-8 bytes, not null
     * @param type the value's class, not null
     * @return the value
     * @throws UncheckedIOException if the bytes are not JSON of that type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("bytes are not JSON of %s".formatted(type.getSimpleName()), e);
        }
    }

    /**
     * Turns a value into a JSON tree.
     *
     * @param value the value, may be null
     * @return the tree
     */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }
}
