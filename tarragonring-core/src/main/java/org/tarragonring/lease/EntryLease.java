package org.tarragonring.lease;

import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.EntryId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.LeaseRecord;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.Versioned;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Holds and periodically renews this entry's lease. The lease expires if it is not renewed in time.
 *
 * <p>The lease duration starts just before the renewal request is sent and is measured on the monotonic clock, so that
 * a process pause or a lost response can only shorten the validity.
 *
 * @since 0.1.0
 */
public final class EntryLease {

    private final EntryId entry;
    private final LeaseTiming timing;
    private final RecordStore records;
    private final InstantSource wallClock;
    private final MonotonicClock clock;
    private final Timers timers;
    private final String callerAddress;
    private final String peerAddress;
    private final String failureDomain;
    private final AtomicBoolean renewalInProgress = new AtomicBoolean();
    private volatile long epoch;
    private volatile long validUntilNanos;
    private volatile boolean held;
    private volatile boolean shuttingDown;
    private volatile Versioned<LeaseRecord> latestRecord;
    private volatile Timers.Task renewalTask = () -> {};

    /**
     * Creates a lease that is not held yet.
     *
     * @param entry the id of this entry, not null
     * @param initialRecord supplies the addresses and the failure domain for all records of this lease; its other
     *     components are ignored; not null
     * @param timing the lease timing, not null
     * @param records the records in the platform's object store, not null
     * @param wallClock the wall clock, which provides increasing epochs even after the record was deleted; not null
     * @param clock the monotonic clock, not null
     * @param timers schedules renewals, not null
     */
    public EntryLease(
            EntryId entry,
            LeaseRecord initialRecord,
            LeaseTiming timing,
            RecordStore records,
            InstantSource wallClock,
            MonotonicClock clock,
            Timers timers) {
        this.entry = Objects.requireNonNull(entry, "entry");
        this.callerAddress = initialRecord.callerAddress();
        this.peerAddress = initialRecord.peerAddress();
        this.failureDomain = initialRecord.failureDomain();
        this.timing = Objects.requireNonNull(timing, "timing");
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Acquires the lease with a new epoch and starts to renew it periodically.
     *
     * @return completes when the lease is held; fails if the platform is unreachable, in which case this method may be
     *     invoked again
     */
    public Uni<Void> acquire() {
        long sentNanos = clock.nanos();
        return records.update(RecordType.LEASE, entry.value(), current -> newRecord(nextEpoch(current), 0, false))
                .invoke(acquired -> {
                    latestRecord = acquired;
                    epoch = acquired.body().epoch();
                    extendValidity(sentNanos);
                    renewalTask = timers.scheduleWithFixedDelay(timing.renewalInterval(), this::renew);
                })
                .replaceWithVoid();
    }

    /**
     * Marks the lease record as that of an entry that is shutting down, so that callers and other entries stop using
     * this entry. The lease stays valid.
     *
     * @return completes when the record is written; the record stays unchanged if another process took over the lease
     */
    public Uni<Void> markShuttingDown() {
        shuttingDown = true;
        return records.update(
                        RecordType.LEASE,
                        entry.value(),
                        current -> current.epoch() == epoch ? newRecord(epoch, current.renewals() + 1, true) : current)
                .replaceWithVoid();
    }

    /** Stops the renewals and makes the lease invalid for this process at once. Does not change the stored record. */
    public void stop() {
        renewalTask.cancel();
        held = false;
    }

    /**
     * Checks whether the lease is currently valid.
     *
     * @return true if this entry may send orders to engines
     */
    public boolean isValid() {
        return held && clock.nanos() < validUntilNanos;
    }

    /**
     * Returns the epoch of the lease.
     *
     * @return the epoch, 0 before the lease was acquired for the first time
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the id of the entry that this lease belongs to.
     *
     * @return the id, never null
     */
    public EntryId entry() {
        return entry;
    }

    /**
     * Returns the lease timing.
     *
     * @return the timing, never null
     */
    public LeaseTiming timing() {
        return timing;
    }

    /** Returns an epoch above that of the current record and above those of records that were deleted before. */
    private long nextEpoch(LeaseRecord current) {
        return Math.max(current.epoch() + 1, wallClock.instant().getEpochSecond());
    }

    private void renew() {
        if (!renewalInProgress.compareAndSet(false, true)) {
            return;
        }
        long sentNanos = clock.nanos();
        long expectedEpoch = epoch;
        records.updateCached(
                        RecordType.LEASE,
                        entry.value(),
                        latestRecord,
                        current -> current.epoch() == expectedEpoch
                                ? newRecord(expectedEpoch, current.renewals() + 1, shuttingDown)
                                : current)
                .subscribe()
                .with(
                        renewed -> {
                            renewalInProgress.set(false);
                            latestRecord = renewed;
                            onRenewed(renewed.body(), expectedEpoch, sentNanos);
                        },
                        failure -> {
                            renewalInProgress.set(false);
                            LogEvent.LEASE_RENEWAL_FAILED.log(entry.value(), failure.getMessage());
                        });
    }

    private void onRenewed(LeaseRecord renewed, long expectedEpoch, long sentNanos) {
        if (renewed.epoch() == expectedEpoch) {
            extendValidity(sentNanos);
            return;
        }
        held = false;
        LogEvent.LEASE_TAKEN_OVER.log(entry.value(), expectedEpoch, renewed.epoch());
    }

    private void extendValidity(long sentNanos) {
        validUntilNanos = sentNanos + timing.duration().toNanos();
        held = true;
    }

    private LeaseRecord newRecord(long newEpoch, long renewals, boolean isShuttingDown) {
        return new LeaseRecord(newEpoch, renewals, callerAddress, peerAddress, failureDomain, isShuttingDown);
    }
}
