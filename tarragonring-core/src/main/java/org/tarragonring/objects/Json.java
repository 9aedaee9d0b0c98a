package org.tarragonring.objects;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Converts records and messages to and from JSON.
 *
 * @since 0.1.0
 */
public final class Json {

    /** The mapper of all records and messages. It ignores unknown properties and omits null values. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /**
     * Serializes a value to JSON.
     *
     * @param value the value, may be null
     * @return the JSON text, UTF-8 encoded
     * @throws UncheckedIOException if the value cannot be serialized
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException("value of %s cannot be serialized to JSON".formatted(value.getClass()), e);
        }
    }

    /**
     * Deserializes a value from JSON.
     *
     * @param <T> the value's type
     * @param bytes the JSON text, UTF-8 encoded, not null
     * @param type the value's class, not null
     * @return the value
     * @throws UncheckedIOException if the bytes are not valid JSON of that type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("bytes are not valid JSON of type %s".formatted(type.getSimpleName()), e);
        }
    }

    /**
     * Converts a value to a JSON tree.
     *
     * @param value the value, may be null
     * @return the tree
     */
    public static JsonNode toTree(Object value) {
        return MAPPER.valueToTree(value);
    }
}
