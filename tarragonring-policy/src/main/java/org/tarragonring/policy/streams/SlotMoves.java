package org.tarragonring.policy.streams;

/**
 * Decides whether a slot is moved to another version because of the load. A move makes the version of the slot's running
 * streams unknown to entries that start meanwhile, so that small differences do not justify it.
 *
 * @since 0.2.0
 */
public final class SlotMoves {

    private static final double MIN_RATIO = 1.5;

    /** Smaller differences come and go with single calls of an entry. */
    private static final int MIN_DIFFERENCE = 5;

    private SlotMoves() {}

    /**
     * Decides whether streams are better moved.
     *
     * @param callsHere the calls in flight at the replica where the stream may begin
     * @param callsThere the calls in flight at the replica of the other version
     * @return true if the other replica has far fewer calls
     */
    public static boolean isWorthwhile(int callsHere, int callsThere) {
        return callsHere >= MIN_RATIO * callsThere + MIN_DIFFERENCE;
    }
}
