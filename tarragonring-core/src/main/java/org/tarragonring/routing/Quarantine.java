package org.tarragonring.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.tarragonring.log.LogEvent;
import org.tarragonring.time.MonotonicClock;

/**
 * Remembers which requests were in flight on replicas that died, and refuses those that broke two. A replica on an
 * engine that was restarted is another one.
 *
 * <p>A request is known by its fingerprint, the hash of its route and body. Entries tell each other.
 *
 * @since 0.1.0
 */
public final class Quarantine {

    /** The number of upstreams that a request may break before it is refused. */
    public static final int UPSTREAMS_BEFORE_REFUSAL = 2;

    private static final int MAX_FINGERPRINTS = 10_000;
    private static final String SEPARATOR = "@";

    private final MonotonicClock clock;
    private final Duration memory;
    private final Map<String, Suspect> suspects = new ConcurrentHashMap<>();

    /**
     * Creates an empty quarantine.
     *
     * @param clock the monotonic clock, not null
     * @param memory how long a request is remembered, not null
     */
    public Quarantine(MonotonicClock clock, Duration memory) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /**
     * Returns how many replicas a request broke.
     *
     * @param fingerprint the request's fingerprint, not null
     * @return 0 or more
     */
    public int brokenUpstreams(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect == null || clock.millis() >= suspect.untilMillis ? 0 : suspect.replicas.size();
    }

    /**
     * Checks if a request is to be refused.
     *
     * @param fingerprint the request's fingerprint, not null
     * @return true if it broke {@value #UPSTREAMS_BEFORE_REFUSAL} upstreams
     */
    public boolean isRefused(String fingerprint) {
        return brokenUpstreams(fingerprint) >= UPSTREAMS_BEFORE_REFUSAL;
    }

    /**
     * Remembers that a replica broke off while it ran a request.
     *
     * @param fingerprint the request's fingerprint, not null
     * @param replica the replica's name, not null
     * @return the subject to tell other entries, or empty text if this was known
     */
    public String record(String fingerprint, String replica) {
        return add(fingerprint, replica) ? fingerprint + SEPARATOR + replica : "";
    }

    /**
     * Takes what another entry told.
     *
     * @param subject the subject as {@link #record} made it, not null
     * @return true if it is news
     */
    public boolean learn(String subject) {
        String[] parts = subject.split(SEPARATOR, 2);
        return parts.length == 2 && add(parts[0], parts[1]);
    }

    private boolean add(String fingerprint, String replica) {
        prune();
        long untilMillis = clock.millis() + memory.toMillis();
        boolean[] news = {false};
        Suspect now = suspects.compute(fingerprint, (key, old) -> {
            Set<String> replicas = old == null ? new HashSet<>() : new HashSet<>(old.replicas);
            news[0] = replicas.add(replica);
            return new Suspect(replicas, untilMillis);
        });
        if (news[0] && now.replicas.size() == UPSTREAMS_BEFORE_REFUSAL) {
            LogEvent.REQUEST_QUARANTINED.log(fingerprint, now.replicas.size());
        }
        return news[0];
    }

    private void prune() {
        if (suspects.size() < MAX_FINGERPRINTS) {
            return;
        }
        long nowMillis = clock.millis();
        suspects.values().removeIf(s -> nowMillis >= s.untilMillis);
        List<String> keys = new ArrayList<>(suspects.keySet());
        for (int i = 0; i < keys.size() - MAX_FINGERPRINTS / 2; i++) {
            suspects.remove(keys.get(i));
        }
    }

    private record Suspect(Set<String> replicas, long untilMillis) {}
}
