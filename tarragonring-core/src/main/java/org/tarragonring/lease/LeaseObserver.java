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
 * Determines whether another entry's lease has ended, without comparing clocks between entries. A lease has ended if
 * its record was observed unchanged for the lease duration on the local monotonic clock, or if the record has a higher
 * epoch.
 *
 * @since 0.1.0
 */
public final class LeaseObserver {

    private final RecordStore records;
    private final MonotonicClock clock;
    private final LeaseTiming timing;
    private final Map<EntryId, Observation> observations = new ConcurrentHashMap<>();

    /**
     * Creates an observer.
     *
     * @param records the records in the platform's object store, not null
     * @param clock the monotonic clock, not null
     * @param timing the lease timing, which must be the same on all entries; not null
     */
    public LeaseObserver(RecordStore records, MonotonicClock clock, LeaseTiming timing) {
        this.records = Objects.requireNonNull(records, "records");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timing = Objects.requireNonNull(timing, "timing");
    }

    /**
     * Checks whether a lease has ended. Expiry needs at least two checks that find the same record, so the check must
     * be repeated; a higher epoch is detected at once.
     *
     * @param holder the id of the entry that held the lease, not null
     * @param epoch the epoch of the lease
     * @return completes with true if no order can be sent any more under that lease
     */
    public Uni<Boolean> hasEnded(EntryId holder, long epoch) {
        return records.read(RecordType.LEASE, holder.value()).map(latest -> evaluate(holder, epoch, latest));
    }

    private boolean evaluate(EntryId holder, long epoch, Versioned<LeaseRecord> latest) {
        if (latest.body().epoch() > epoch) {
            return true;
        }
        long nowNanos = clock.nanos();
        Observation observation = observations.compute(
                holder,
                (id, previous) -> previous != null && previous.version == latest.version()
                        ? previous
                        : new Observation(latest.version(), nowNanos));
        return nowNanos - observation.sinceNanos >= timing.duration().toNanos();
    }

    private record Observation(long version, long sinceNanos) {}
}
