package org.tarragonring.upstream;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class MediaTypesTest {

    @Test
    void typeHasNoParameters() {
        assertEquals(MediaTypes.EVENT_STREAM, of("Text/Event-Stream ; charset=utf-8"));
        assertEquals("", of(";"));
    }

    @Test
    void missingTypeIsEmpty() {
        assertEquals("", MediaTypes.of(MultiMap.caseInsensitiveMultiMap()));
    }

    private static String of(String contentType) {
        return MediaTypes.of(MultiMap.caseInsensitiveMultiMap().add("content-type", contentType));
    }
}
