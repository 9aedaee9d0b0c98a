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
 * Deletes lease records that have not changed for a long time, so that those of replaced entries do not pile up.
 *
 * <p>An entry that starts later under a deleted id takes a higher epoch all the same, since epochs are no lower than
 * the wall clock's seconds.
 *
 * @since 0.1.0
 */
public final class LeaseJanitor {

    private final ObjectStore objects;
    private final MonotonicClock clock;
    private final Duration unchangedFor;
    private Map<String, Sighting> sightings = new HashMap<>();

    /**
     * Creates a janitor.
     *
     * @param objects the platform's store, not null
     * @param clock the monotonic clock, not null
     * @param unchangedFor how long a record must have been seen unchanged, not null
     */
    public LeaseJanitor(ObjectStore objects, MonotonicClock clock, Duration unchangedFor) {
        this.objects = Objects.requireNonNull(objects, "objects");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.unchangedFor = Objects.requireNonNull(unchangedFor, "unchangedFor");
    }

    /**
     * Looks at all lease records once.
     *
     * @return completes when those that are due are deleted; a record that changed meanwhile stays
     */
    public Uni<Void> run() {
        return objects.list(RecordType.LEASE.prefix()).chain(found -> {
            List<Uni<Void>> deletions = new ArrayList<>();
            for (StoredObject object : due(found)) {
                deletions.add(objects.delete(object.key(), object.version())
                        .onFailure()
                        .recoverWithNull());
            }
            return deletions.isEmpty()
                    ? Uni.createFrom().voidItem()
                    : Uni.join().all(deletions).andCollectFailures().replaceWithVoid();
        });
    }

    private synchronized List<StoredObject> due(List<StoredObject> found) {
        long nowNanos = clock.nanos();
        Map<String, Sighting> seen = new HashMap<>();
        List<StoredObject> due = new ArrayList<>();
        for (StoredObject object : found) {
            Sighting before = sightings.get(object.key());
            boolean same = before != null && before.version == object.version();
            Sighting now = same ? before : new Sighting(object.version(), nowNanos);
            seen.put(object.key(), now);
            if (nowNanos - now.sinceNanos >= unchangedFor.toNanos()) {
                due.add(object);
            }
        }
        sightings = seen;
        return due;
    }

    private record Sighting(long version, long sinceNanos) {}
}
