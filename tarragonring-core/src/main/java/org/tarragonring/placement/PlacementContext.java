package org.tarragonring.placement;

import java.util.Objects;
import java.util.function.Predicate;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.SlotId;
import org.tarragonring.lease.EntryLease;
import org.tarragonring.lease.LeaseObserver;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.EngineDirectory;

/**
 * Holds the dependencies of an entry's placement operations.
 *
 * @param lease this entry's lease, not null
 * @param observer observes the leases of other entries, not null
 * @param records the records in the platform's object store, not null
 * @param engines looks up the engines of upstreams, not null
 * @param invariants checks the invariants of record changes, not null
 * @param isMember tests whether other entries can reach an entry, which is only a hint that it is running; not null
 * @param clock the monotonic clock, not null
 * @param timers schedules polls and retries, not null
 * @since 0.1.0
 */
public record PlacementContext(
        EntryLease lease,
        LeaseObserver observer,
        RecordStore records,
        EngineDirectory engines,
        Invariants invariants,
        Predicate<EntryId> isMember,
        MonotonicClock clock,
        Timers timers) {

    /** Rejects null components. */
    public PlacementContext {
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(observer, "observer");
        Objects.requireNonNull(records, "records");
        Objects.requireNonNull(engines, "engines");
        Objects.requireNonNull(invariants, "invariants");
        Objects.requireNonNull(isMember, "isMember");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(timers, "timers");
    }

    /**
     * Checks that this entry's lease is currently valid.
     *
     * @param slot the slot that is about to be changed, not null
     * @throws PlacementException if the lease is not valid
     */
    void requireLease(SlotId slot) {
        if (!lease.isValid()) {
            throw new PlacementException(
                    PlacementException.Reason.LEASE_NOT_VALID,
                    "lease of entry \"%s\" is not valid, slot \"%s\" was not changed".formatted(lease.entry(), slot));
        }
    }
}
