package org.tarragonring.objects;

import java.util.Objects;

/**
 * The lease of one entry, which shows other entries that it is alive.
 *
 * @param epoch a counter that each start of the entry increments by one; 0 if it has no lease yet
 * @param renewals a counter that each renewal increments by one, so that other entries observe a change
 * @param callerAddress the address that accepts calls, not null
 * @param peerAddress the address that accepts messages of other entries, not null
 * @param failureDomain the entry's failure domain, not null
 * @param leaving whether the entry is shutting down
 * @since 0.1.0
 */
public record LeaseRecord(
        long epoch, long renewals, String callerAddress, String peerAddress, String failureDomain, boolean leaving) {

    /** Rejects null components. */
    public LeaseRecord {
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Returns the record of an entry that has no lease yet.
     *
     * @return a record with epoch 0
     */
    public static LeaseRecord none() {
        return new LeaseRecord(0, 0, "", "", "", true);
    }
}
