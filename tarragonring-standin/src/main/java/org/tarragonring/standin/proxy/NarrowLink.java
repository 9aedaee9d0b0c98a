package org.tarragonring.standin.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/**
 * One direction of a link with a bounded rate, which its connections share in turn.
 *
 * @since 0.2.0
 */
final class NarrowLink {

    /** The number of parts into which the data of one second are divided. */
    private static final int PARTS_PER_SECOND = 50;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Vertx vertx;
    private final Context context;
    private final int bytesPerSecond;
    private final Map<NetSocket, Deque<Step>> steps = new LinkedHashMap<>();
    private boolean sending;

    /**
     * Creates a link.
     *
     * @param vertx the Vert.x instance that runs the link, not null
     * @param bytesPerSecond the rate, above 0
     */
    NarrowLink(Vertx vertx, int bytesPerSecond) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.context = vertx.getOrCreateContext();
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Sends data after all earlier data of the connection, and then runs an action. */
    void send(NetSocket to, Buffer data, Runnable onSent) {
        context.runOnContext(run -> {
            Deque<Step> queue = steps.computeIfAbsent(to, socket -> new ArrayDeque<>());
            int partBytes = Math.max(1, bytesPerSecond / PARTS_PER_SECOND);
            for (int start = 0; start < data.length(); start += partBytes) {
                Buffer part = data.getBuffer(start, Math.min(data.length(), start + partBytes));
                queue.add(new Step(part.length(), () -> to.write(part)));
            }
            queue.add(new Step(0, onSent));
            if (!sending) {
                sendNext();
            }
        });
    }

    private void sendNext() {
        sending = !steps.isEmpty();
        if (!sending) {
            return;
        }
        NetSocket to = steps.keySet().iterator().next();
        Deque<Step> queue = steps.remove(to);
        Step step = queue.remove();
        if (!queue.isEmpty()) {
            steps.put(to, queue);
        }
        long millis = Math.max(1, step.bytes * MILLIS_PER_SECOND / bytesPerSecond);
        vertx.setTimer(millis, id -> {
            step.action.run();
            sendNext();
        });
    }

    /** A part of the data of a connection, or what follows them. */
    private record Step(int bytes, Runnable action) {}
}
