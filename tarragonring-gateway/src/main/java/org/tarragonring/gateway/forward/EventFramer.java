package org.tarragonring.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream of events into whole events, so that a stream that breaks off inside an event can go on elsewhere after
 * the last whole one.
 *
 * <p>Not safe for use by several threads.
 */
final class EventFramer {

    private static final String ID_FIELD = "id:";

    private Buffer pending = Buffer.buffer();
    private Optional<String> lastId = Optional.empty();
    private int events;

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the next bytes, not null
     * @return the whole events that they complete, empty if none
     */
    Buffer feed(Buffer bytes) {
        pending.appendBuffer(bytes);
        int end = endOfLastEvent();
        if (end == 0) {
            return Buffer.buffer();
        }
        Buffer whole = pending.getBuffer(0, end);
        pending = pending.getBuffer(end, pending.length());
        note(whole.toString(StandardCharsets.UTF_8));
        return whole;
    }

    /** Drops the bytes of an event that was not completed. */
    void dropPartial() {
        pending = Buffer.buffer();
    }

    /** Returns the bytes of an event that is not complete yet. */
    Buffer partial() {
        return pending;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the number of whole events so far. */
    int events() {
        return events;
    }

    /** Returns the position after the last blank line, 0 if there is none. */
    private int endOfLastEvent() {
        for (int i = pending.length() - 1; i > 0; i--) {
            if (pending.getByte(i) != '\n') {
                continue;
            }
            byte before = pending.getByte(i - 1);
            boolean isBlankLine = before == '\n' || before == '\r' && i >= 2 && pending.getByte(i - 2) == '\n';
            if (isBlankLine) {
                return i + 1;
            }
        }
        return 0;
    }

    private void note(String text) {
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
                events++;
            }
        }
    }
}
