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
 * Shares the weight store's parallel loads between all entries.
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
     * Creates a view of one pool of permits.
     *
     * @param records where permits are kept, not null
     * @param wallClock the wall clock, not null
     * @param entry this entry, not null
     * @param pool the pool's name, such as {@code models}, not null
     * @param limit how many loads may run at once
     * @param lifetime after which a permit lapses, so that a dead holder's comes back; not null
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
     * Takes or extends a permit.
     *
     * @param purpose what the permit is for, not null
     * @param count how many loads it allows
     * @return true if the permit is held, false if the pool is used up
     */
    public Uni<Boolean> acquire(String purpose, int count) {
        return records.update(RecordType.PERMITS, pool, old -> grant(old, purpose, count))
                .map(now ->
                        now.body().permits().stream().anyMatch(p -> p.purpose().equals(purpose)));
    }

    /**
     * Gives a permit back.
     *
     * @param purpose what the permit was for, not null
     * @return completes when the permit is free
     */
    public Uni<Void> release(String purpose) {
        return records.update(RecordType.PERMITS, pool, old -> {
                    boolean present =
                            old.permits().stream().anyMatch(p -> p.purpose().equals(purpose));
                    return present ? old.without(purpose, wallClock.millis()) : old;
                })
                .replaceWithVoid();
    }

    private PermitRecord grant(PermitRecord old, String purpose, int count) {
        long nowMillis = wallClock.millis();
        PermitRecord others = old.without(purpose, nowMillis);
        if (others.count() + count > limit) {
            return others.permits().equals(old.permits()) ? old : others;
        }
        return others.with(new PermitRecord.Permit(entry, purpose, count, nowMillis + lifetime.toMillis()));
    }
}
