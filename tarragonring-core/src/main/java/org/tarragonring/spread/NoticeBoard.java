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
 * Passes notices on with later datagrams until each was told often enough to have reached every entry.
 *
 * @since 0.1.0
 */
public final class NoticeBoard {

    private static final int TELLS = 12;
    private static final int MAX_NOTICES = 1000;
    private static final int MAX_IN_DATAGRAM = 4;

    private final MonotonicClock clock;
    private final Consumer<Notice> listener;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, Posted> posted = new ConcurrentHashMap<>();

    /**
     * Creates an empty board.
     *
     * @param clock the monotonic clock, not null
     * @param listener takes each notice that is news here, not null
     */
    public NoticeBoard(MonotonicClock clock, Consumer<Notice> listener) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Posts a notice of this entry.
     *
     * @param kind what it is about, not null
     * @param subject the subject, not null
     * @param holdsMillis for how long it holds
     */
    public void post(Notice.Kind kind, String subject, long holdsMillis) {
        put(new Notice(kind, subject, sequence.incrementAndGet(), holdsMillis));
    }

    /**
     * Takes a notice of another entry.
     *
     * @param notice the notice, not null
     */
    public void learn(Notice notice) {
        if (notice.remainingMillis() > 0 && !posted.containsKey(key(notice)) && posted.size() < MAX_NOTICES) {
            put(notice);
            listener.accept(notice);
        }
    }

    /**
     * Takes notices that are to ride along with a datagram.
     *
     * @return a few notices
     */
    public List<Notice> take() {
        if (posted.isEmpty()) {
            return List.of();
        }
        long nowMillis = clock.millis();
        List<Notice> taken = new ArrayList<>();
        posted.values().removeIf(p -> nowMillis >= p.untilMillis);
        for (Posted notice : posted.values()) {
            if (taken.size() < MAX_IN_DATAGRAM && notice.tells.incrementAndGet() <= TELLS) {
                taken.add(notice.remaining(nowMillis));
            }
        }
        return taken;
    }

    private void put(Notice notice) {
        posted.put(key(notice), new Posted(notice, clock.millis() + notice.remainingMillis(), new AtomicLong()));
    }

    private static String key(Notice notice) {
        return notice.kind() + "/" + notice.subject();
    }

    private record Posted(Notice notice, long untilMillis, AtomicLong tells) {

        Notice remaining(long nowMillis) {
            return new Notice(notice.kind(), notice.subject(), notice.sequence(), untilMillis - nowMillis);
        }
    }
}
