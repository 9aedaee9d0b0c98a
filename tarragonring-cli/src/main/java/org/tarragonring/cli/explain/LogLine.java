package org.tarragonring.cli.explain;

import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tarragonring.objects.Json;

/**
 * A line of a saved log file.
 *
 * @param time the time at which the line was written, not null
 * @param host the host name of the entry that wrote the line, not null
 * @param message the log message, which starts with the event's code; not null
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
     * Parses a JSON log line.
     *
     * @param text the text of the line, not null; text before the first opening brace is ignored
     * @return the line, or empty if the text is not a JSON log line with an event code and a valid time
     */
    public static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode json = Json.MAPPER.readTree(text.substring(start));
            String message = json.path("message").asText();
            if (!message.startsWith(CODE_PREFIX)) {
                return Optional.empty();
            }
            Instant time = Instant.parse(json.path("timestamp").asText());
            return Optional.of(new LogLine(time, json.path("hostName").asText("unknown"), message));
        } catch (IOException | DateTimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the code of the logged event.
     *
     * @return the first 10 characters of the message, {@code TRNG} and six digits
     */
    public String code() {
        return message.substring(0, Math.min(CODE_LENGTH, message.length()));
    }
}
