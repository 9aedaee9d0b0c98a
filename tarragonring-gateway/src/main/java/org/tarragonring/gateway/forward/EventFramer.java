package org.tarragonring.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a stream of server-sent events at event boundaries. If the stream breaks inside an event, it can be resumed on
 * another replica after the last complete event.
 *
 * <p>Not thread-safe.
 */
final class EventFramer {

    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final byte[] NOTHING = {};

    private byte[] pending = NOTHING;
    private Optional<String> lastId = Optional.empty();
    private int eventCount;

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes, not null
     * @return all events that are complete now and were not returned before, empty if there are none
     */
    Buffer feed(Buffer bytes) {
        int searchedBytes = pending.length;
        byte[] joined = append(pending, bytes.getBytes());
        int end = endOfLastEvent(joined, searchedBytes);
        pending = end == joined.length ? NOTHING : Arrays.copyOfRange(joined, end, joined.length);
        if (end == 0) {
            return Buffer.buffer();
        }
        recordIds(joined, end);
        return searchedBytes == 0 && end == joined.length ? bytes : Buffer.buffer(Arrays.copyOf(joined, end));
    }

    /** Discards the bytes of an incomplete event. */
    void discardPartial() {
        pending = NOTHING;
    }

    /** Returns the number of bytes of the incomplete event at the end of the stream, 0 if there is none. */
    int partialLength() {
        return pending.length;
    }

    /** Returns the id of the last complete event that had one, empty if there was none. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the number of complete events with an id so far. */
    int eventCount() {
        return eventCount;
    }

    private static byte[] append(byte[] first, byte[] second) {
        if (first.length == 0) {
            return second;
        }
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    /**
     * Returns the offset after the last blank line that ends at or after a position, 0 if there is none. The bytes before
     * that position contain no blank line.
     */
    private static int endOfLastEvent(byte[] bytes, int searchedBytes) {
        for (int i = bytes.length - 1; i >= Math.max(1, searchedBytes); i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean isBlankLine = bytes[i - 1] == '\n' || bytes[i - 1] == '\r' && i >= 2 && bytes[i - 2] == '\n';
            if (isBlankLine) {
                return i + 1;
            }
        }
        return 0;
    }

    private void recordIds(byte[] bytes, int end) {
        int lineStart = 0;
        while (lineStart < end) {
            int lineEnd = lineStart;
            while (lineEnd < end && bytes[lineEnd] != '\n') {
                lineEnd++;
            }
            if (startsWithId(bytes, lineStart, lineEnd)) {
                int valueStart = lineStart + ID_FIELD.length;
                lastId =
                        Optional.of(new String(bytes, valueStart, lineEnd - valueStart, StandardCharsets.UTF_8).trim());
                eventCount++;
            }
            lineStart = lineEnd + 1;
        }
    }

    private static boolean startsWithId(byte[] bytes, int lineStart, int lineEnd) {
        return Arrays.mismatch(
                        bytes, lineStart, Math.min(lineEnd, lineStart + ID_FIELD.length), ID_FIELD, 0, ID_FIELD.length)
                < 0;
    }
}
