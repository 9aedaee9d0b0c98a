package org.tarragonring.gateway.orders;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.UpstreamId;

/**
 * Divides replicas into the groups whose order leases are taken as one.
 *
 * @since 0.2.0
 */
public final class OrderGroups {

    /** The number of groups: a lost holder stops an eighth of all loads, and leases cost eight writes a renewal. */
    public static final int COUNT = 8;

    private OrderGroups() {}

    /**
     * Finds the group of a replica.
     *
     * @param replica the replica, not null
     * @return its group, 0 to {@link #COUNT} - 1, the same on all entries
     */
    public static int of(UpstreamId replica) {
        return (int) Math.floorMod(Hashes.of(replica.value()), (long) COUNT);
    }
}
