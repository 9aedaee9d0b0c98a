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
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreEras;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.Timers;

/**
 * A stand-in for the platform's object store that keeps the objects in memory, with versions, conditional writes and
 * watches.
 *
 * @since 0.1.0
 */
public final class InMemoryObjectStore implements ObjectStore {

    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final Timers timers;
    private final TreeMap<String, RevisionedObject> objects = new TreeMap<>();
    private final List<Watcher> watchers = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicLong> requestsByKind = new ConcurrentSkipListMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final StoreEras eras = new StoreEras();
    private Copy copy = new Copy(new TreeMap<>(), 0);
    private long revision;

    /**
     * Creates an empty store.
     *
     * @param timers schedules the end of watches that return no changes, not null
     */
    public InMemoryObjectStore(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return Uni.createFrom().item(() -> {
            countRequest(reads, "read", key);
            return findObject(key);
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
            countRequest(writes, "write", key);
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
            Watcher watcher = new Watcher(prefix, afterRevision, emitter::complete, emitter::fail);
            if (afterRevision > revision()) {
                watcher.endWithHistoryGone();
            } else if (!watcher.completeIfChanged()) {
                watchers.add(watcher);
                timers.schedule(wait, watcher::expire);
            }
        });
    }

    @Override
    public StoreEra era() {
        return eras.newest();
    }

    @Override
    public void addEraListener(Consumer<StoreEra> listener) {
        eras.addListener(listener);
    }

    /**
     * Copies all objects and the revision. From now on the store has an era, the first of which is 1.
     *
     * @since 0.2.0
     */
    public synchronized void copy() {
        eras.observe(new StoreEra(Math.max(1, era().number())));
        copy = new Copy(new TreeMap<>(objects), revision);
    }

    /**
     * Comes back from the last copy in a new era: what was written since is lost, revisions are given out again, and
     * waiting watches fail, as their revision may not exist any more. Without a copy all objects are lost.
     *
     * @since 0.2.0
     */
    public void restoreCopy() {
        synchronized (this) {
            objects.clear();
            objects.putAll(copy.objects);
            revision = copy.revision;
        }
        watchers.forEach(Watcher::endWithHistoryGone);
        eras.observe(new StoreEra(era().number() + 1));
    }

    /**
     * Returns the number of read requests since this store was created, including lists and watches.
     *
     * @return the number, 0 or more
     */
    public long reads() {
        return reads.get();
    }

    /**
     * Returns the number of write and delete requests since this store was created, including rejected ones.
     *
     * @return the number, 0 or more
     */
    public long writes() {
        return writes.get();
    }

    /**
     * Returns the number of reads and writes of single objects by kind. A kind is an operation and the first segment of
     * the key, for example {@code "read models/"}.
     *
     * @return the live counters by kind, never null
     */
    public Map<String, AtomicLong> requestsByKind() {
        return requestsByKind;
    }

    /**
     * Returns the number of pending watches.
     *
     * @return the number, 0 or more
     */
    public int waitingWatches() {
        return watchers.size();
    }

    private void countRequest(AtomicLong counter, String operation, String key) {
        counter.incrementAndGet();
        String kind = key.substring(0, key.indexOf('/') + 1);
        requestsByKind
                .computeIfAbsent(operation + " " + kind, k -> new AtomicLong())
                .incrementAndGet();
    }

    private synchronized Optional<StoredObject> findObject(String key) {
        RevisionedObject current = objects.get(key);
        return current == null ? Optional.empty() : Optional.of(current.object);
    }

    private long put(String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("value of object \"%s\" has %d bytes, expected at most %d"
                    .formatted(key, value.length, MAX_VALUE_BYTES));
        }
        long version;
        synchronized (this) {
            requireVersion(key, expectedVersion);
            version = expectedVersion + 1;
            objects.put(key, new RevisionedObject(new StoredObject(key, version, value.clone()), ++revision));
        }
        watchers.forEach(Watcher::completeIfChanged);
        return version;
    }

    private synchronized void remove(String key, long expectedVersion) {
        requireVersion(key, expectedVersion);
        objects.remove(key);
        revision++;
    }

    private void requireVersion(String key, long expectedVersion) {
        RevisionedObject current = objects.get(key);
        long version = current == null ? ABSENT_VERSION : current.object.version();
        if (version != expectedVersion) {
            throw new StoreException(
                    StoreException.Kind.CONFLICT,
                    "object \"%s\" has version %d, expected %d".formatted(key, version, expectedVersion));
        }
    }

    private synchronized List<StoredObject> changedSince(String prefix, long afterRevision) {
        List<StoredObject> found = new ArrayList<>();
        for (RevisionedObject current : objects.tailMap(prefix).values()) {
            if (!current.object.key().startsWith(prefix)) {
                break;
            }
            if (current.revision > afterRevision) {
                found.add(current.object);
            }
        }
        return found;
    }

    private synchronized long revision() {
        return revision;
    }

    private record Copy(TreeMap<String, RevisionedObject> objects, long revision) {}

    private record RevisionedObject(StoredObject object, long revision) {}

    private final class Watcher {

        private final String prefix;
        private final long afterRevision;
        private final Consumer<WatchBatch> onBatch;
        private final Consumer<Throwable> onFailure;
        private boolean completed;

        private Watcher(
                String prefix, long afterRevision, Consumer<WatchBatch> onBatch, Consumer<Throwable> onFailure) {
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.onBatch = onBatch;
            this.onFailure = onFailure;
        }

        private void endWithHistoryGone() {
            synchronized (this) {
                if (completed) {
                    return;
                }
                completed = true;
            }
            watchers.remove(this);
            onFailure.accept(new StoreException(
                    StoreException.Kind.HISTORY_GONE, "watch of \"%s\": revision is gone".formatted(prefix)));
        }

        private boolean completeIfChanged() {
            long currentRevision = revision();
            List<StoredObject> changed = changedSince(prefix, afterRevision);
            return !changed.isEmpty() && complete(new WatchBatch(currentRevision, changed));
        }

        private void expire() {
            complete(new WatchBatch(Math.max(afterRevision, revision()), List.of()));
        }

        private boolean complete(WatchBatch batch) {
            synchronized (this) {
                if (completed) {
                    return true;
                }
                completed = true;
            }
            watchers.remove(this);
            onBatch.accept(batch);
            return true;
        }
    }
}
