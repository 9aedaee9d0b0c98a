package org.tarragonring.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that log events have unique codes and match the catalogue that operators use. */
class LogEventTest {

    private static final Path CATALOGUE = Path.of("../docs/LOG-EVENTS.md");

    @Test
    void codesAreUnique() {
        long distinct =
                Arrays.stream(LogEvent.values()).map(LogEvent::code).distinct().count();
        assertEquals(LogEvent.values().length, distinct);
    }

    @Test
    void catalogueListsExactlyTheDefinedEvents() throws IOException {
        List<String> listed = Pattern.compile("TRNG\\d{6} \\| [A-Z]+")
                .matcher(Files.readString(CATALOGUE))
                .results()
                .map(MatchResult::group)
                .sorted()
                .toList();
        List<String> events = Arrays.stream(LogEvent.values())
                .map(e -> e.code() + " | " + e.level())
                .sorted()
                .toList();
        assertEquals(events, listed);
    }
}
