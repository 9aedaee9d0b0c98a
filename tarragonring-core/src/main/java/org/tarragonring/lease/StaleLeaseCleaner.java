package org.tarragonring.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.time.MonotonicClock;

/**
 * Deletes lease records that have not changed for a long time, so that the records of replaced entries do not
 * accumulate.
 *
 * <p>An entry that starts later with the id of a deleted record still gets a higher epoch, because an epoch is never
 * lower than the wall clock time in seconds.
 *
 * @since 0.1.0
 */
public final class StaleLeaseCleaner {

    private final ObjectStore objects;
    private final MonotonicClock clock;
    private final Duration staleAfter;
    private Map<String, Observation> observations = new HashMap<>();

    /**
     * Creates a cleaner.
     *
     * @param objects the platform's object store, not null
     * @param clock the monotonic clock, not null
     * @param staleAfter the time for which a record must be observed unchanged before it is deleted, not null
     */
    public StaleLeaseCleaner(ObjectStore objects, MonotonicClock clock, Duration staleAfter) {
        this.objects = Objects.requireNonNull(objects, "objects");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.staleAfter = Objects.requireNonNull(staleAfter, "staleAfter");
    }

    /**
     * Observes all lease records and deletes the stale ones. Failed deletions are ignored; the next run repeats them.
     *
     * @return completes when the stale records are deleted, except those that changed in the meantime; fails if the
     *     records could not be listed
     */
    public Uni<Void> deleteStaleLeases() {
        return objects.list(RecordType.LEASE.prefix()).chain(leaseObjects -> {
            List<Uni<Void>> deletions = new ArrayList<>();
            for (StoredObject object : stale(leaseObjects)) {
                deletions.add(objects.delete(object.key(), object.version())
                        .onFailure()
                        .recoverWithNull());
            }
            return deletions.isEmpty()
                    ? Uni.createFrom().voidItem()
                    : Uni.join().all(deletions).andCollectFailures().replaceWithVoid();
        });
    }

    private synchronized List<StoredObject> stale(List<StoredObject> leaseObjects) {
        long nowNanos = clock.nanos();
        Map<String, Observation> nextObservations = new HashMap<>();
        List<StoredObject> stale = new ArrayList<>();
        for (StoredObject object : leaseObjects) {
            Observation previous = observations.get(object.key());
            boolean unchanged = previous != null && previous.version == object.version();
            Observation current = unchanged ? previous : new Observation(object.version(), nowNanos);
            nextObservations.put(object.key(), current);
            if (nowNanos - current.sinceNanos >= staleAfter.toNanos()) {
                stale.add(object);
            }
        }
        observations = nextObservations;
        return stale;
    }

    private record Observation(long version, long sinceNanos) {}
}
