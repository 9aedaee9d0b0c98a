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
 * Holds this entry's lease and gives it up by itself when it cannot be renewed.
 *
 * <p>The lease is valid for its duration from the moment before the renewal was sent, on the monotonic clock, so
 * that a pause or a lost answer can only shorten it.
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
    private final AtomicBoolean renewing = new AtomicBoolean();
    private volatile long epoch;
    private volatile long validUntilNanos;
    private volatile boolean held;
    private volatile boolean leaving;
    private volatile Versioned<LeaseRecord> latest;
    private volatile Timers.Task renewal = () -> {};

    /**
     * Creates a lease that is not held yet.
     *
     * @param entry the entry, not null
     * @param addresses the record's unchanging part: addresses and failure domain, not null
     * @param timing the times, not null
     * @param records where the lease is kept, not null
     * @param wallClock gives epochs that rise even if the record was deleted, not null
     * @param clock the monotonic clock, not null
     * @param timers runs the renewals, not null
     */
    public EntryLease(
            EntryId entry,
            LeaseRecord addresses,
            LeaseTiming timing,
            RecordStore records,
            InstantSource wallClock,
            MonotonicClock clock,
            Timers timers) {
        this.entry = Objects.requireNonNull(entry, "entry");
        this.callerAddress = addresses.callerAddress();
        this.peerAddress = addresses.peerAddress();
        this.failureDomain = addresses.failureDomain();
        this.timing = Objects.requireNonNull(timing, "timing");
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Takes the lease under a new epoch and keeps renewing it.
     *
     * @return completes when the lease is held; fails if the platform cannot be reached, and may be called again
     */
    public Uni<Void> start() {
        long sentNanos = clock.nanos();
        return records.update(RecordType.LEASE, entry.value(), old -> record(nextEpoch(old), 0, false))
                .invoke(taken -> {
                    latest = taken;
                    epoch = taken.body().epoch();
                    extend(sentNanos);
                    renewal = timers.scheduleWithFixedDelay(timing.renewal(), this::renew);
                })
                .replaceWithVoid();
    }

    /**
     * Marks the lease as leaving, so that other entries and callers turn away; it stays valid.
     *
     * @return completes when the record says so
     */
    public Uni<Void> leave() {
        leaving = true;
        return records.update(
                        RecordType.LEASE,
                        entry.value(),
                        old -> old.epoch() == epoch ? record(epoch, old.renewals() + 1, true) : old)
                .replaceWithVoid();
    }

    /** Stops renewing and gives the lease up at once on this side. */
    public void stop() {
        renewal.cancel();
        held = false;
    }

    /**
     * Checks if the lease holds at this moment.
     *
     * @return true if orders may be sent
     */
    public boolean isValid() {
        return held && clock.nanos() < validUntilNanos;
    }

    /**
     * Returns the epoch of the lease.
     *
     * @return 1 or more once the lease was held
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the entry whose lease this is.
     *
     * @return the id, never null
     */
    public EntryId entry() {
        return entry;
    }

    /**
     * Returns the times that govern the lease.
     *
     * @return the timing, never null
     */
    public LeaseTiming timing() {
        return timing;
    }

    /** Returns an epoch above the record's, and above that of a record that was deleted since. */
    private long nextEpoch(LeaseRecord old) {
        return Math.max(old.epoch() + 1, wallClock.instant().getEpochSecond());
    }

    private void renew() {
        if (!renewing.compareAndSet(false, true)) {
            return;
        }
        long sentNanos = clock.nanos();
        long renewedEpoch = epoch;
        records.updateKnown(
                        RecordType.LEASE,
                        entry.value(),
                        latest,
                        old -> old.epoch() == renewedEpoch ? record(renewedEpoch, old.renewals() + 1, leaving) : old)
                .subscribe()
                .with(
                        renewed -> {
                            renewing.set(false);
                            latest = renewed;
                            onRenewed(renewed.body(), renewedEpoch, sentNanos);
                        },
                        failure -> {
                            renewing.set(false);
                            LogEvent.LEASE_RENEWAL_FAILED.log(entry.value(), failure.getMessage());
                        });
    }

    private void onRenewed(LeaseRecord renewed, long renewedEpoch, long sentNanos) {
        if (renewed.epoch() == renewedEpoch) {
            extend(sentNanos);
            return;
        }
        held = false;
        LogEvent.LEASE_TAKEN_OVER.log(entry.value(), renewedEpoch, renewed.epoch());
    }

    private void extend(long sentNanos) {
        validUntilNanos = sentNanos + timing.duration().toNanos();
        held = true;
    }

    private LeaseRecord record(long newEpoch, long renewals, boolean isLeaving) {
        return new LeaseRecord(newEpoch, renewals, callerAddress, peerAddress, failureDomain, isLeaving);
    }
}
