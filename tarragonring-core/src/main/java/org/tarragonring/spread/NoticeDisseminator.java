package org.tarragonring.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.tarragonring.peer.Notice;
import org.tarragonring.time.MonotonicClock;

/**
 * Disseminates notices to all entries by piggybacking them on datagrams. Each entry sends a notice up to a fixed number
 * of times, which is enough for it to reach every entry.
 *
 * @since 0.1.0
 */
public final class NoticeDisseminator {

    private static final int MAX_TRANSMISSIONS = 12;
    private static final int MAX_NOTICES = 1000;
    private static final int MAX_NOTICES_PER_DATAGRAM = 4;

    private final MonotonicClock clock;
    private final Consumer<Notice> listener;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, ActiveNotice> active = new ConcurrentHashMap<>();

    /**
     * Creates a disseminator without notices.
     *
     * @param clock the monotonic clock, not null
     * @param listener receives each notice of another entry that was not active here before, not null
     */
    public NoticeDisseminator(MonotonicClock clock, Consumer<Notice> listener) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Publishes a notice of this entry. It replaces an active notice of the same kind and subject; the listener is not
     * notified.
     *
     * @param kind the kind of notice, not null
     * @param subject the subject, not null
     * @param validityMillis how long the notice is valid, in milliseconds
     */
    public void publish(Notice.Kind kind, String subject, long validityMillis) {
        add(new Notice(kind, subject, sequence.incrementAndGet(), validityMillis));
    }

    /**
     * Handles a notice received from another entry. It is ignored if it has expired, if a notice of the same kind and
     * subject is already active, or if too many notices are active.
     *
     * @param notice the notice, not null
     */
    public void receive(Notice notice) {
        if (notice.remainingMillis() > 0 && !active.containsKey(key(notice)) && active.size() < MAX_NOTICES) {
            add(notice);
            listener.accept(notice);
        }
    }

    /**
     * Returns notices to piggyback on a datagram, and counts one transmission of each.
     *
     * @return a small number of notices with their remaining validity, never null
     */
    public List<Notice> nextNotices() {
        if (active.isEmpty()) {
            return List.of();
        }
        long nowMillis = clock.millis();
        List<Notice> selected = new ArrayList<>();
        active.values().removeIf(notice -> nowMillis >= notice.expiresAtMillis);
        for (ActiveNotice notice : active.values()) {
            if (selected.size() < MAX_NOTICES_PER_DATAGRAM
                    && notice.transmissions.incrementAndGet() <= MAX_TRANSMISSIONS) {
                selected.add(notice.withRemainingTime(nowMillis));
            }
        }
        return selected;
    }

    private void add(Notice notice) {
        active.put(key(notice), new ActiveNotice(notice, clock.millis() + notice.remainingMillis(), new AtomicLong()));
    }

    private static String key(Notice notice) {
        return notice.kind() + "/" + notice.subject();
    }

    private record ActiveNotice(Notice notice, long expiresAtMillis, AtomicLong transmissions) {

        Notice withRemainingTime(long nowMillis) {
            return new Notice(notice.kind(), notice.subject(), notice.sequence(), expiresAtMillis - nowMillis);
        }
    }
}
