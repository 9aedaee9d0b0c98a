package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.time.MonotonicClock;

/**
 * Remembers which replicas got which parts of prompts lately, and probably have them cached.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class PromptPartMemory {

    /** About 250 bytes each, 1 MB in all. */
    private static final int MAX_ENTRIES = 4_000;

    /** A busy replica gets as many prompt tokens as its cache holds, 232,000, in about ten seconds. */
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    private final MonotonicClock clock;
    private final Map<Key, Long> sentMillis = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /**
     * Creates an empty memory.
     *
     * @param clock the monotonic clock, not null
     */
    public PromptPartMemory(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records that a replica gets a call.
     *
     * @param parts the keys of the parts of the prompt, not null
     * @param process the process that gets it, not null
     */
    public void onSent(List<String> parts, ReplicaProcess process) {
        parts.forEach(part -> sentMillis.put(key(part, process), clock.millis()));
    }

    /**
     * Returns how much of a prompt a replica probably has cached.
     *
     * @param parts the keys of the parts of the prompt, from the first to the last; not null
     * @param process the process of the replica, not null
     * @return the number of parts up to the last one that this process got lately, 0 if there is none
     */
    public int cachedParts(List<String> parts, ReplicaProcess process) {
        for (int count = parts.size(); count > 0; count--) {
            Long millis = sentMillis.get(key(parts.get(count - 1), process));
            if (millis != null && clock.millis() - millis <= LIFETIME.toMillis()) {
                return count;
            }
        }
        return 0;
    }

    private static Key key(String part, ReplicaProcess process) {
        return new Key(part, process.replica(), process.startMillis());
    }

    private record Key(String part, UpstreamId replica, long processStartMillis) {}
}
