package org.tarragonring.gateway.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Event boundaries do not match the boundaries of network reads. A partial event that is forwarded, or joined to the
 * resumed stream, would corrupt the stream that the caller receives.
 */
class EventFramerTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    private final EventFramer framer = new EventFramer();

    @Test
    void incompleteEventIsNotReturned() {
        assertEquals("", feed("id: 1\nda"));
        assertEquals("id: 1\nda".length(), framer.partialLength());
        assertEquals(Optional.empty(), framer.lastId());
    }

    @Test
    void restOfAnIncompleteEventCompletesIt() {
        feed("id: 1\ndata: a\n\nid: 2\nda");

        assertEquals("id: 2\ndata: b\n\n", feed("ta: b\n\n"));
        assertEquals(0, framer.partialLength());
    }

    @Test
    void completeEventsAreReturnedAndLastIdIsKept() {
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"));
        assertEquals(Optional.of("2"), framer.lastId());
        assertEquals(2, framer.eventCount());
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        assertEquals("id: 7\r\ndata: a\r\n\r\n", feed("id: 7\r\ndata: a\r\n\r\n"));
        assertEquals(Optional.of("7"), framer.lastId());
    }

    @Test
    void discardedBytesAreNotJoinedToNextStream() {
        feed("id: 1\ndata: a\n\nid: 2\ndata: b");
        framer.discardPartial();

        assertEquals("id: 2\ndata: b\n\n", feed("id: 2\ndata: b\n\n"));
    }

    @Property
    void anyChunkingReturnsTheSameBytes(@ForAll @IntRange(min = 1, max = 20) int chunkLength) {
        EventFramer chunkedFramer = new EventFramer();
        StringBuilder returned = new StringBuilder();
        for (int i = 0; i < STREAM.length(); i += chunkLength) {
            String chunk = STREAM.substring(i, Math.min(STREAM.length(), i + chunkLength));
            returned.append(chunkedFramer.feed(Buffer.buffer(chunk)));
        }
        assertEquals(STREAM, returned.toString());
        assertEquals(3, chunkedFramer.eventCount());
    }

    private String feed(String bytes) {
        return framer.feed(Buffer.buffer(bytes)).toString();
    }
}
