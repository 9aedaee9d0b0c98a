package org.tarragonring.config;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

import org.tarragonring.log.LogEvent;

/**
 * Holds the configuration in force in this process. It only ever takes a higher generation.
 *
 * @since 0.1.0
 */
public final class ConfigHolder {

    private final ReentrantLock lock = new ReentrantLock();
    private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile Snapshot current;

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot, or empty before the first one
     */
    public Optional<Snapshot> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the generation in force.
     *
     * @return the generation, 0 before the first one
     */
    public long generation() {
        Snapshot snapshot = current;
        return snapshot == null ? 0 : snapshot.manifest.generation();
    }

    /**
     * Adds a listener for later generations.
     *
     * @param listener takes each snapshot after it came into force, not null
     */
    public void addListener(Consumer<Snapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Puts a generation in force if it is higher than the present one.
     *
     * @param manifest the generation's manifest, not null
     * @param chunks its compressed chunks by content hash, not null
     * @param source where it was learned, for the log; not null
     * @return true if it is in force now, false if the present one is as high
     * @throws ProblemsException if its objects do not hold together; the present one stays in force
     */
    public boolean adopt(ConfigManifest manifest, Map<String, byte[]> chunks, String source) {
        if (manifest.generation() <= generation()) {
            return false;
        }
        Map<String, byte[]> used = new LinkedHashMap<>();
        Map<String, List<ConfigObject>> parsed = new LinkedHashMap<>();
        Map<String, List<ConfigObject>> known = current().map(Snapshot::objects).orElse(Map.of());
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty()) {
                used.put(sha256, chunks.get(sha256));
                List<ConfigObject> same = known.get(sha256);
                parsed.put(sha256, same == null ? ConfigChunks.read(sha256, chunks.get(sha256)) : same);
            }
        }
        List<ConfigObject> objects =
                parsed.values().stream().flatMap(List::stream).toList();
        Snapshot next = new Snapshot(
                manifest,
                ConfigChecker.checkPublished(objects),
                Collections.unmodifiableMap(used),
                Collections.unmodifiableMap(parsed));
        lock.lock();
        try {
            if (manifest.generation() <= generation()) {
                return false;
            }
            current = next;
        } finally {
            lock.unlock();
        }
        LogEvent.CONFIG_ACTIVATED.log(manifest.generation(), source);
        listeners.forEach(listener -> listener.accept(next));
        return true;
    }

    /**
     * A generation in force.
     *
     * @param manifest its manifest, not null
     * @param set its objects, not null
     * @param chunks its compressed chunks by content hash, for other entries; not null
     * @param objects its objects by the content hash of their chunk, for the next generation; not null
     */
    public record Snapshot(
            ConfigManifest manifest,
            ConfigSet set,
            Map<String, byte[]> chunks,
            Map<String, List<ConfigObject>> objects) {}
}
