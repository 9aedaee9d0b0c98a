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
 * Holds the active configuration of this process. The active generation only increases.
 *
 * @since 0.1.0
 */
public final class ConfigHolder {

    private final ReentrantLock lock = new ReentrantLock();
    private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile Snapshot current;

    /**
     * Returns the active configuration.
     *
     * @return the active configuration, or empty if none has been activated yet
     */
    public Optional<Snapshot> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the active generation.
     *
     * @return the active generation, 0 if none has been activated yet
     */
    public long generation() {
        Snapshot snapshot = current;
        return snapshot == null ? 0 : snapshot.manifest.generation();
    }

    /**
     * Adds a listener that is notified of each generation activated from now on.
     *
     * @param listener receives each configuration after its activation, not null
     */
    public void addListener(Consumer<Snapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Activates a generation if it is higher than the active one.
     *
     * @param manifest the generation's manifest, not null
     * @param chunks its compressed chunks by content hash, not null
     * @param source where the generation was received from, for the log; not null
     * @return true if the generation was activated, false if the active one is as high or higher
     * @throws ProblemsException if its objects are not valid as a set; the active generation stays active
     */
    public boolean activate(ConfigManifest manifest, Map<String, byte[]> chunks, String source) {
        if (manifest.generation() <= generation()) {
            return false;
        }
        Map<String, byte[]> nextChunks = new LinkedHashMap<>();
        Map<String, List<ConfigObject>> nextObjects = new LinkedHashMap<>();
        Map<String, List<ConfigObject>> currentObjects =
                current().map(Snapshot::objects).orElse(Map.of());
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty()) {
                nextChunks.put(sha256, chunks.get(sha256));
                List<ConfigObject> unchanged = currentObjects.get(sha256);
                nextObjects.put(
                        sha256, unchanged == null ? ConfigChunks.decode(sha256, chunks.get(sha256)) : unchanged);
            }
        }
        List<ConfigObject> objects =
                nextObjects.values().stream().flatMap(List::stream).toList();
        Snapshot next = new Snapshot(
                manifest,
                ConfigChecker.checkPublished(objects),
                Collections.unmodifiableMap(nextChunks),
                Collections.unmodifiableMap(nextObjects));
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
     * One generation of the configuration.
     *
     * @param manifest the manifest of the generation, not null
     * @param configSet the validated objects, not null
     * @param chunks the compressed chunks by content hash, which other entries can request; not null
     * @param objects the objects of each chunk by its content hash, reused by the next generation for unchanged chunks;
     *     not null
     */
    public record Snapshot(
            ConfigManifest manifest,
            ConfigSet configSet,
            Map<String, byte[]> chunks,
            Map<String, List<ConfigObject>> objects) {}
}
