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
 * What every placement action of an entry works with.
 *
 * @param lease this entry's lease, not null
 * @param observer watches other entries' leases, not null
 * @param records the platform's records, not null
 * @param engines finds engines, not null
 * @param invariants checks what must hold, not null
 * @param isMember says if an entry is reached by others; a hint, not null
 * @param clock the monotonic clock, not null
 * @param timers runs polls, not null
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

    /** Checks the arguments. */
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
     * Checks that this entry's lease holds at this moment.
     *
     * @param slot the placement that is to be acted on, not null
     * @throws PlacementException if it does not hold
     */
    void requireLease(SlotId slot) {
        if (!lease.isValid()) {
            throw new PlacementException(
                    PlacementException.Reason.NO_LEASE,
                    "lease of entry \"%s\" does not hold, slot \"%s\" is left as it is".formatted(lease.entry(), slot));
        }
    }
}
