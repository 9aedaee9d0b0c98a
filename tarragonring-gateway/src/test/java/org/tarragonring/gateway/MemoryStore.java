package org.tarragonring.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreEras;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;

/** A store in memory that responds at once. Its watches never end. */
public final class MemoryStore implements RevisionedStore {

    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final StoreEras eras = new StoreEras();
    private Map<String, StoredObject> copy = Map.of();
    private long revision = 100;
    private long copiedRevision;
    private int writeCount;
    private int readCount;
    private int failingReads;
    private int failingLists;

    /** Creates or replaces an object, as another writer does. */
    public void put(String key, byte[] value) {
        objects.put(key, new StoredObject(key, ++revision, value));
    }

    /** Copies all objects, in the first era of the store or a later one. */
    public void copy() {
        eras.observe(new StoreEra(Math.max(1, era().number())));
        copy = Map.copyOf(objects);
        copiedRevision = revision;
    }

    /** Comes back from the last copy in a new era, in which revisions are given out again. */
    public void restoreCopy() {
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

    /** Lets the next reads of single objects fail. */
    public void failReads(int count) {
        failingReads = count;
    }

    /** Lets the next listings fail. */
    public void failLists(int count) {
        failingLists = count;
    }

    /** Returns the number of conditional writes, also of those that were rejected. */
    public int writeCount() {
        return writeCount;
    }

    /** Returns the number of reads of single objects, also of those that failed. */
    public int readCount() {
        return readCount;
    }

    @Override
    public Uni<Snapshot> snapshot(String prefix) {
        return list(prefix).map(listed -> new Snapshot(revision, listed));
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        readCount++;
        if (failingReads > 0) {
            failingReads--;
            return Uni.createFrom()
                    .failure(new StoreException(StoreException.Kind.UNAVAILABLE, "no response for " + key));
        }
        return Uni.createFrom().item(Optional.ofNullable(objects.get(key)));
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        if (failingLists > 0) {
            failingLists--;
            return Uni.createFrom()
                    .failure(new StoreException(StoreException.Kind.UNAVAILABLE, "no response for " + prefix));
        }
        return Uni.createFrom()
                .item(objects.values().stream()
                        .filter(object -> object.key().startsWith(prefix))
                        .toList());
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        writeCount++;
        long version = objects.containsKey(key) ? objects.get(key).version() : ABSENT_VERSION;
        if (version != expectedVersion) {
            return Uni.createFrom()
                    .failure(new StoreException(
                            StoreException.Kind.CONFLICT, "version of %s is %d".formatted(key, version)));
        }
        put(key, value);
        return Uni.createFrom().item(revision);
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        objects.remove(key);
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return Uni.createFrom().nothing();
    }
}
