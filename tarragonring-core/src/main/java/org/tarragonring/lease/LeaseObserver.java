package org.tarragonring.lease;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.EntryId;
import org.tarragonring.objects.LeaseRecord;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Versioned;
import org.tarragonring.time.MonotonicClock;

/**
 * Finds out whether another entry's lease has ended, by its own clock only: a lease has ended when its record has
 * not changed for its whole duration, or when a later epoch was taken.
 *
 * @since 0.1.0
 */
public final class LeaseObserver {

    private final RecordStore records;
    private final MonotonicClock clock;
    private final LeaseTiming timing;
    private final Map<EntryId, Sighting> sightings = new ConcurrentHashMap<>();

    /**
     * Creates an observer.
     *
     * @param records where leases are kept, not null
     * @param clock the monotonic clock, not null
     * @param timing the times that all entries share, not null
     */
    public LeaseObserver(RecordStore records, MonotonicClock clock, LeaseTiming timing) {
        this.records = Objects.requireNonNull(records, "records");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
    }

    /**
     * Checks if a lease has ended. The first look at a holder never finds its lease ended; the caller looks again.
     *
     * @param holder the entry, not null
     * @param epoch the epoch of the lease
     * @return true if no order can be sent under that lease any more
     */
    public Uni<Boolean> hasEnded(EntryId holder, long epoch) {
        return records.read(RecordType.LEASE, holder.value()).map(found -> judge(holder, epoch, found));
    }

    private boolean judge(EntryId holder, long epoch, Versioned<LeaseRecord> found) {
        if (found.body().epoch() > epoch) {
            return true;
        }
        long nowNanos = clock.nanos();
        Sighting sighting = sightings.compute(
                holder,
                (id, old) ->
                        old != null && old.version == found.version() ? old : new Sighting(found.version(), nowNanos));
        return nowNanos - sighting.sinceNanos >= timing.duration().toNanos();
    }

    private record Sighting(long version, long sinceNanos) {}
}
