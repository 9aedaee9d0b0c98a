package org.tarragonring.config;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ValueParserTest {

    @ParameterizedTest
    @ValueSource(strings = {"", "12", "GiB", "-1GiB", "1.5GiB", "1GB", "99999999999999999999GiB"})
    void malformedBytesAreRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> ValueParser.parseBytes(text));
    }

    @Test
    void overflowIsRejected() {
        assertThrows(ArithmeticException.class, () -> ValueParser.parseBytes("999999999999999TiB"));
    }

    @Test
    void bytesAreRead() {
        assertEquals(14L << 30, ValueParser.parseBytes("14 GiB"));
    }

    @Test
    void durationsAreRead() {
        assertEquals(Duration.ofMinutes(10), ValueParser.parseDuration("10m"));
    }

    @Test
    void integersOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> ValueParser.parseInteger("11", 1, 10));
    }
}
