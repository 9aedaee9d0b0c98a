package org.tarragonring.gateway.orders;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.UpstreamId;

/**
 * Assigns replicas to groups; each group has one order lease.
 *
 * @since 0.2.0
 */
public final class OrderGroups {

    /**
     * The number of groups. With 8, the failure of the holder of one lease stops the loads of an eighth of all
     * replicas, and renewing all leases takes 8 store writes.
     */
    public static final int GROUP_COUNT = 8;

    private OrderGroups() {}

    /**
     * Returns the group of a replica.
     *
     * @param replica the id of the replica, not null
     * @return the number of its group, 0 to {@link #GROUP_COUNT} - 1; the same in all entries
     */
    public static int of(UpstreamId replica) {
        return (int) Math.floorMod(Hashes.of(replica.value()), (long) GROUP_COUNT);
    }
}
