package org.tarragonring.objects;

import java.util.Objects;

/**
 * An entry's lease.
 *
 * @param epoch rises by one with each start of the entry; 0 if there was none
 * @param renewals rises by one with each renewal, so that others can see that the holder is alive
 * @param callerAddress where callers reach the entry, not null
 * @param peerAddress where other entries reach it, not null
 * @param failureDomain the entry's failure domain, not null
 * @param leaving whether the entry is shutting down
 * @since 0.1.0
 */
public record LeaseRecord(
        long epoch, long renewals, String callerAddress, String peerAddress, String failureDomain, boolean leaving) {

    /** Checks the arguments. */
    public LeaseRecord {
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Returns the record that stands for an absent lease.
     *
     * @return a record of epoch 0
     */
    public static LeaseRecord none() {
        return new LeaseRecord(0, 0, "", "", "", true);
    }
}
