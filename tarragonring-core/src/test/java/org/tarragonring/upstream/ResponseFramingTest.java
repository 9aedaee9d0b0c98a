package org.tarragonring.upstream;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ResponseFramingTest {

    // Guards against a status that is none and reaches the caller.
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 100, 199, 600, 999})
    void statusThatIsNoFinalOneIsRecognized(int status) {
        assertFalse(ResponseFraming.isFinalStatus(status));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 304, 404, 503, 599})
    void finalStatusIsRecognized(int status) {
        assertTrue(ResponseFraming.isFinalStatus(status));
    }

    // Guards against a response without a body that is taken for one that was broken off.
    @Test
    void onlyABodyWithoutLengthAndChunksEndsWithItsConnection() {
        MultiMap none = MultiMap.caseInsensitiveMultiMap();
        assertTrue(ResponseFraming.isDelimitedByClose(200, none));
        assertFalse(ResponseFraming.isDelimitedByClose(204, none));
        assertFalse(ResponseFraming.isDelimitedByClose(304, none));
        assertFalse(ResponseFraming.isDelimitedByClose(
                200, MultiMap.caseInsensitiveMultiMap().add("content-length", "0")));
        assertFalse(ResponseFraming.isDelimitedByClose(
                200, MultiMap.caseInsensitiveMultiMap().add("transfer-encoding", "chunked")));
    }
}
