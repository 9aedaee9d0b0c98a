package org.tarragonring.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.parsetools.RecordParser;
import org.tarragonring.upstream.UpstreamAnswer;

/**
 * Passes a stream of server-sent events on, each token exactly once and in order, no faster than the caller reads.
 * Runs on one event loop.
 */
final class EventRelay {

    private static final String DELIMITER = "\n\n";
    private static final String ID_FIELD = "id: ";
    private static final String DONE_FIELD = "data: [DONE]";

    private final UpstreamAnswer answer;
    private final HttpServerResponse response;
    private final Context context;
    private final Duration tokenTimeout;
    private final Listener listener;
    private final RecordParser parser;
    private long delivered;
    private long idleTimer = -1;
    private boolean open = true;
    private boolean blockedByCaller;

    EventRelay(
            UpstreamAnswer answer,
            HttpServerResponse response,
            Context context,
            Duration tokenTimeout,
            long delivered,
            Listener listener) {
        this.answer = Objects.requireNonNull(answer, "answer");
        this.response = Objects.requireNonNull(response, "response");
        this.context = Objects.requireNonNull(context, "context");
        this.tokenTimeout = Objects.requireNonNull(tokenTimeout, "tokenTimeout");
        this.delivered = delivered;
        this.listener = Objects.requireNonNull(listener, "listener");
        this.parser = RecordParser.newDelimited(DELIMITER, answer.response());
    }

    void start() {
        if (!response.headWritten()) {
            response.setChunked(true);
            response.putHeader("Content-Type", "text/event-stream");
            response.putHeader("Cache-Control", "no-store");
        }
        parser.exceptionHandler(failure -> breakOff(String.valueOf(failure.getMessage())));
        parser.endHandler(ended -> breakOff("the stream ended early"));
        parser.handler(this::onEvent);
        answer.response().resume();
        armIdleTimer();
    }

    long delivered() {
        return delivered;
    }

    void cancel() {
        if (close()) {
            answer.cancel();
        }
    }

    private void onEvent(Buffer event) {
        if (!open) {
            return;
        }
        String text = event.toString(StandardCharsets.UTF_8);
        if (text.contains(DONE_FIELD)) {
            close();
            response.end(DONE_FIELD + DELIMITER);
            listener.onEnd();
            return;
        }
        long id = id(text);
        if (id <= delivered) {
            return;
        }
        if (id != delivered + 1) {
            answer.cancel();
            breakOff("token %d came after token %d".formatted(id, delivered));
            return;
        }
        delivered = id;
        listener.onFirst();
        response.write(event.appendString(DELIMITER));
        if (response.writeQueueFull()) {
            awaitCaller();
        } else {
            armIdleTimer();
        }
    }

    private void awaitCaller() {
        blockedByCaller = true;
        cancelIdleTimer();
        parser.pause();
        response.drainHandler(drained -> {
            blockedByCaller = false;
            if (open) {
                armIdleTimer();
                parser.resume();
            }
        });
    }

    private void armIdleTimer() {
        cancelIdleTimer();
        idleTimer = context.owner().setTimer(tokenTimeout.toMillis(), id -> {
            if (!blockedByCaller && open) {
                answer.cancel();
                breakOff("no token came for %s".formatted(tokenTimeout));
            }
        });
    }

    private void cancelIdleTimer() {
        if (idleTimer >= 0) {
            context.owner().cancelTimer(idleTimer);
            idleTimer = -1;
        }
    }

    private void breakOff(String why) {
        if (close()) {
            listener.onBroken(why);
        }
    }

    private boolean close() {
        boolean wasOpen = open;
        open = false;
        cancelIdleTimer();
        return wasOpen;
    }

    /** Returns the token's number, 0 for an event without one. */
    private static long id(String event) {
        if (!event.startsWith(ID_FIELD)) {
            return 0;
        }
        int lineEnd = event.indexOf('\n');
        try {
            return Long.parseLong(event.substring(ID_FIELD.length(), lineEnd < 0 ? event.length() : lineEnd)
                    .trim());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Is told how the stream goes. */
    interface Listener {

        /** Is called before each token goes out. */
        void onFirst();

        /** Is called after the last token went out. */
        void onEnd();

        /** Is called when the stream broke off before its end. */
        void onBroken(String why);
    }
}
