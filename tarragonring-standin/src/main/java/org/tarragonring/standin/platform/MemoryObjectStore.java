package org.tarragonring.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.Timers;

/**
 * Keeps objects in memory with versions, conditional updates and watches.
 *
 * @since 0.1.0
 */
public final class MemoryObjectStore implements ObjectStore {

    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final Timers timers;
    private final TreeMap<String, Held> objects = new TreeMap<>();
    private final List<Watcher> watchers = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicLong> byKind = new ConcurrentSkipListMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private long revision;

    /**
     * Creates an empty store.
     *
     * @param timers ends watches that see nothing, not null
     */
    public MemoryObjectStore(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return Uni.createFrom().item(() -> {
            count(reads, "read", key);
            return find(key);
        });
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return Uni.createFrom().item(() -> {
            reads.incrementAndGet();
            return changedSince(prefix, 0);
        });
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return Uni.createFrom().item(() -> {
            count(writes, "write", key);
            return put(key, expectedVersion, value);
        });
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return Uni.createFrom().item(() -> {
            writes.incrementAndGet();
            remove(key, expectedVersion);
            return null;
        });
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return Uni.createFrom().emitter(emitter -> {
            reads.incrementAndGet();
            Watcher watcher = new Watcher(prefix, afterRevision, emitter::complete);
            if (!watcher.offer()) {
                watchers.add(watcher);
                timers.schedule(wait, watcher::expire);
            }
        });
    }

    /**
     * Returns the reads so far, watches included.
     *
     * @return a count
     */
    public long reads() {
        return reads.get();
    }

    /**
     * Returns the writes so far, refused ones included.
     *
     * @return a count
     */
    public long writes() {
        return writes.get();
    }

    /**
     * Returns the reads and writes of single objects so far, by operation and start of the key.
     *
     * @return counts
     */
    public Map<String, AtomicLong> byKind() {
        return byKind;
    }

    /**
     * Returns the watches that wait now.
     *
     * @return a count
     */
    public int waitingWatches() {
        return watchers.size();
    }

    private void count(AtomicLong counter, String operation, String key) {
        counter.incrementAndGet();
        String kind = key.substring(0, key.indexOf('/') + 1);
        byKind.computeIfAbsent(operation + " " + kind, k -> new AtomicLong()).incrementAndGet();
    }

    private synchronized Optional<StoredObject> find(String key) {
        Held held = objects.get(key);
        return held == null ? Optional.empty() : Optional.of(held.object);
    }

    private long put(String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("value of \"%s\" is longer than 1 MB".formatted(key));
        }
        long version;
        synchronized (this) {
            requireVersion(key, expectedVersion);
            version = expectedVersion + 1;
            objects.put(key, new Held(new StoredObject(key, version, value.clone()), ++revision));
        }
        watchers.forEach(Watcher::offer);
        return version;
    }

    private synchronized void remove(String key, long expectedVersion) {
        requireVersion(key, expectedVersion);
        objects.remove(key);
        revision++;
    }

    private void requireVersion(String key, long expectedVersion) {
        Held held = objects.get(key);
        long version = held == null ? ABSENT_VERSION : held.object.version();
        if (version != expectedVersion) {
            throw new StoreException(
                    StoreException.Kind.CONFLICT,
                    "object \"%s\" has version %d, not %d".formatted(key, version, expectedVersion));
        }
    }

    private synchronized List<StoredObject> changedSince(String prefix, long afterRevision) {
        List<StoredObject> found = new ArrayList<>();
        for (Held held : objects.tailMap(prefix).values()) {
            if (!held.object.key().startsWith(prefix)) {
                break;
            }
            if (held.revision > afterRevision) {
                found.add(held.object);
            }
        }
        return found;
    }

    private synchronized long revision() {
        return revision;
    }

    private record Held(StoredObject object, long revision) {}

    private final class Watcher {

        private final String prefix;
        private final long afterRevision;
        private final Consumer<WatchBatch> target;
        private boolean done;

        private Watcher(String prefix, long afterRevision, Consumer<WatchBatch> target) {
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.target = target;
        }

        private boolean offer() {
            long reached = revision();
            List<StoredObject> changed = changedSince(prefix, afterRevision);
            return !changed.isEmpty() && finish(new WatchBatch(reached, changed));
        }

        private void expire() {
            finish(new WatchBatch(Math.max(afterRevision, revision()), List.of()));
        }

        private boolean finish(WatchBatch batch) {
            synchronized (this) {
                if (done) {
                    return true;
                }
                done = true;
            }
            watchers.remove(this);
            target.accept(batch);
            return true;
        }
    }
}
