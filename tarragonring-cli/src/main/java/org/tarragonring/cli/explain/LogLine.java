package org.tarragonring.cli.explain;

import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tarragonring.objects.Json;

/**
 * One line of a saved log.
 *
 * @param time when it was written, not null
 * @param host the entry that wrote it, not null
 * @param message the event with its code, not null
 * @since 0.2.0
 */
public record LogLine(Instant time, String host, String message) {

    private static final String CODE_PREFIX = "TRNG";
    private static final int CODE_LENGTH = 10;

    /** Checks the arguments. */
    public LogLine {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Reads a line.
     *
     * @param text a JSON log line, with anything before its first brace; not null
     * @return the line, or empty if the text is none
     */
    public static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode line = Json.MAPPER.readTree(text.substring(start));
            String message = line.path("message").asText();
            if (!message.startsWith(CODE_PREFIX)) {
                return Optional.empty();
            }
            Instant time = Instant.parse(line.path("timestamp").asText());
            return Optional.of(new LogLine(time, line.path("hostName").asText("unknown"), message));
        } catch (IOException | DateTimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the code of the event.
     *
     * @return {@code TRNG} and six digits
     */
    public String code() {
        return message.substring(0, Math.min(CODE_LENGTH, message.length()));
    }
}
