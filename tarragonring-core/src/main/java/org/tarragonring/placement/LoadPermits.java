package org.tarragonring.placement;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.EntryId;
import org.tarragonring.objects.PermitRecord;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.objects.RecordType;

/**
 * Limits the parallel loads from the weight store across all entries, using expiring permits in a shared record.
 *
 * @since 0.1.0
 */
public final class LoadPermits {

    private final RecordStore records;
    private final InstantSource wallClock;
    private final EntryId entry;
    private final String pool;
    private final int limit;
    private final Duration lifetime;

    /**
     * Creates an accessor to one permit pool.
     *
     * @param records the store of the permit records, not null
     * @param wallClock the wall clock, which sets the expiry of permits; not null
     * @param entry this entry, not null
     * @param pool the pool's name, such as {@code models}, not null
     * @param limit the maximum number of loads that all permits of the pool allow at the same time
     * @param lifetime the time after which a permit expires, so that the permit of a failed entry becomes available
     *     again; not null
     */
    public LoadPermits(
            RecordStore records, InstantSource wallClock, EntryId entry, String pool, int limit, Duration lifetime) {
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.entry = Objects.requireNonNull(entry, "entry");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.limit = limit;
        this.lifetime = Objects.requireNonNull(lifetime, "lifetime");
    }

    /**
     * Acquires a permit, or renews the permit that is already held for the same purpose.
     *
     * @param purpose the key that identifies the permit within the pool, not null
     * @param count the number of loads that the permit allows
     * @return true if the permit is held, false if the pool has too few loads left
     */
    public Uni<Boolean> acquire(String purpose, int count) {
        return records.update(RecordType.PERMITS, pool, current -> grant(current, purpose, count))
                .map(updated -> updated.body().permits().stream()
                        .anyMatch(p -> p.purpose().equals(purpose)));
    }

    /**
     * Releases a permit and removes expired permits. Does nothing if no permit is held for the purpose.
     *
     * @param purpose the key that identifies the permit within the pool, not null
     * @return completes when the permit is removed from the record
     */
    public Uni<Void> release(String purpose) {
        return records.update(RecordType.PERMITS, pool, current -> {
                    boolean present =
                            current.permits().stream().anyMatch(p -> p.purpose().equals(purpose));
                    return present ? current.without(purpose, wallClock.millis()) : current;
                })
                .replaceWithVoid();
    }

    private PermitRecord grant(PermitRecord current, String purpose, int count) {
        long nowMillis = wallClock.millis();
        PermitRecord remaining = current.without(purpose, nowMillis);
        if (remaining.count() + count > limit) {
            return remaining.permits().equals(current.permits()) ? current : remaining;
        }
        return remaining.with(new PermitRecord.Permit(entry, purpose, count, nowMillis + lifetime.toMillis()));
    }
}
