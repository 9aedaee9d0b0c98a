package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreEras;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;

/** An in-memory store whose writes can be paused and which can be made unreachable. */
public final class PausableStore implements ObjectStore {

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final List<Runnable> pausedWrites = new ArrayList<>();
    private final StoreEras eras = new StoreEras();
    private Map<String, StoredObject> copy = Map.of();
    private long copiedRevision;
    private boolean writesPaused;
    private boolean responsesPaused;
    private boolean reachable = true;
    private long revision;
    private int writeCount;

    void pauseWrites() {
        writesPaused = true;
    }

    /** Executes the next writes at once, but holds back their responses until the writes are resumed. */
    void pauseResponses(boolean isPaused) {
        responsesPaused = isPaused;
    }

    /** Copies all objects, in the first era of the store or a later one. */
    void copy() {
        eras.observe(new StoreEra(Math.max(1, era().number())));
        copy = Map.copyOf(objects);
        copiedRevision = revision;
    }

    /** Comes back from the last copy in a new era, in which revisions are given out again. */
    void restoreCopy() {
        objects.clear();
        objects.putAll(copy);
        revision = copiedRevision;
        eras.observe(new StoreEra(era().number() + 1));
    }

    @Override
    public StoreEra era() {
        return eras.newest();
    }

    @Override
    public void addEraListener(Consumer<StoreEra> listener) {
        eras.addListener(listener);
    }

    void resumeWrites() {
        writesPaused = false;
        List.copyOf(pausedWrites).forEach(Runnable::run);
        pausedWrites.clear();
    }

    void setReachable(boolean isReachable) {
        reachable = isReachable;
    }

    int writeCount() {
        return writeCount;
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return Uni.createFrom().item(() -> {
            requireReachable(key);
            return Optional.ofNullable(objects.get(key));
        });
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return Uni.createFrom()
                .item(() -> objects.values().stream()
                        .filter(object -> object.key().startsWith(prefix))
                        .toList());
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return Uni.createFrom().emitter(emitter -> {
            Runnable work = () -> {
                try {
                    long version = writeNow(key, expectedVersion, value);
                    if (responsesPaused) {
                        pausedWrites.add(() -> emitter.complete(version));
                    } else {
                        emitter.complete(version);
                    }
                } catch (StoreException e) {
                    emitter.fail(e);
                }
            };
            if (writesPaused) {
                pausedWrites.add(work);
            } else {
                work.run();
            }
        });
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return Uni.createFrom().item(() -> {
            objects.remove(key);
            return null;
        });
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return Uni.createFrom().nothing();
    }

    private long writeNow(String key, long expectedVersion, byte[] value) {
        requireReachable(key);
        writeCount++;
        long version = objects.containsKey(key) ? objects.get(key).version() : ABSENT_VERSION;
        if (version != expectedVersion) {
            throw new StoreException(
                    StoreException.Kind.CONFLICT,
                    "version of object %s is %d, not the expected one".formatted(key, version));
        }
        objects.put(key, new StoredObject(key, ++revision, value));
        return revision;
    }

    private void requireReachable(String key) {
        if (!reachable) {
            throw new StoreException(StoreException.Kind.UNAVAILABLE, "store is unreachable, cannot access " + key);
        }
    }
}
