package org.tarragonring.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.parsetools.RecordParser;
import org.tarragonring.upstream.UpstreamResponse;

/**
 * Relays a stream of server-sent events from an upstream to the caller, each token exactly once and in order. Applies
 * backpressure: reads from the upstream no faster than the caller reads. Not thread-safe; runs on one event loop.
 */
final class EventRelay {

    private static final String EVENT_DELIMITER = "\n\n";
    private static final String ID_FIELD = "id: ";
    private static final String DONE_EVENT = "data: [DONE]";

    private final UpstreamResponse upstreamResponse;
    private final HttpServerResponse response;
    private final Context context;
    private final Duration tokenTimeout;
    private final Listener listener;
    private final RecordParser parser;
    private long deliveredTokens;
    private long tokenTimerId = -1;
    private boolean open = true;
    private boolean pausedForCaller;

    EventRelay(
            UpstreamResponse upstreamResponse,
            HttpServerResponse response,
            Context context,
            Duration tokenTimeout,
            long deliveredTokens,
            Listener listener) {
        this.upstreamResponse = Objects.requireNonNull(upstreamResponse, "upstreamResponse");
        this.response = Objects.requireNonNull(response, "response");
        this.context = Objects.requireNonNull(context, "context");
        this.tokenTimeout = Objects.requireNonNull(tokenTimeout, "tokenTimeout");
        this.deliveredTokens = deliveredTokens;
        this.listener = Objects.requireNonNull(listener, "listener");
        this.parser = RecordParser.newDelimited(EVENT_DELIMITER, upstreamResponse.response());
    }

    void start() {
        if (!response.headWritten()) {
            response.setChunked(true);
            response.putHeader("Content-Type", "text/event-stream");
            response.putHeader("Cache-Control", "no-store");
        }
        parser.exceptionHandler(failure -> fail(String.valueOf(failure.getMessage())));
        parser.endHandler(ended -> fail("stream ended before its last event"));
        parser.handler(this::onEvent);
        upstreamResponse.brokenOff().onFailure(failure -> fail(String.valueOf(failure.getMessage())));
        upstreamResponse.response().resume();
        startTokenTimer();
    }

    long deliveredTokens() {
        return deliveredTokens;
    }

    void cancel() {
        if (close()) {
            upstreamResponse.cancel();
        }
    }

    private void onEvent(Buffer event) {
        if (!open) {
            return;
        }
        String text = event.toString(StandardCharsets.UTF_8);
        if (text.equals(DONE_EVENT)) {
            close();
            response.end(DONE_EVENT + EVENT_DELIMITER);
            listener.onComplete();
            return;
        }
        long tokenNumber = tokenNumber(text);
        if (tokenNumber <= deliveredTokens) {
            return;
        }
        if (tokenNumber != deliveredTokens + 1) {
            upstreamResponse.cancel();
            fail("received token %d after token %d".formatted(tokenNumber, deliveredTokens));
            return;
        }
        deliveredTokens = tokenNumber;
        listener.onToken();
        response.write(event.appendString(EVENT_DELIMITER));
        if (response.writeQueueFull()) {
            pauseUntilDrained();
        } else {
            startTokenTimer();
        }
    }

    private void pauseUntilDrained() {
        pausedForCaller = true;
        cancelTokenTimer();
        parser.pause();
        response.drainHandler(drained -> {
            pausedForCaller = false;
            if (open) {
                startTokenTimer();
                parser.resume();
            }
        });
    }

    private void startTokenTimer() {
        cancelTokenTimer();
        tokenTimerId = context.owner().setTimer(tokenTimeout.toMillis(), id -> {
            if (!pausedForCaller && open) {
                upstreamResponse.cancel();
                fail("no token received within %s".formatted(tokenTimeout));
            }
        });
    }

    private void cancelTokenTimer() {
        if (tokenTimerId >= 0) {
            context.owner().cancelTimer(tokenTimerId);
            tokenTimerId = -1;
        }
    }

    private void fail(String cause) {
        if (close()) {
            listener.onFailure(cause);
        }
    }

    private boolean close() {
        boolean wasOpen = open;
        open = false;
        cancelTokenTimer();
        return wasOpen;
    }

    /** Returns the token number from the event's id field, or 0 if there is none. */
    private static long tokenNumber(String event) {
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

    /** Receives the progress of the stream. */
    interface Listener {

        /** Invoked before each token is written to the caller. */
        void onToken();

        /** Invoked after the last token was written. */
        void onComplete();

        /** Invoked when the stream failed before its last event. */
        void onFailure(String cause);
    }
}
