package org.tarragonring.policy.fairness;

/**
 * Detects from the share of refused calls whether there is too little capacity. A shortage ends at a lower share than the one at
 * which it begins, so that it does not begin and end with each refused call.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ShortageDetector {

    /** The share of refused calls at which a shortage begins; single calls for cold models are refused on calm days, too. */
    static final double BEGIN_FRACTION = 0.05;

    /** The share of refused calls below which a shortage ends. */
    static final double END_FRACTION = 0.02;

    /** The number of refused calls within the window at which a shortage begins at the earliest. */
    static final int MIN_REFUSED_CALLS = 4;

    private boolean shortage;

    /**
     * Updates the state.
     *
     * @param calls the number of recent calls, including the refused ones; 0 or more
     * @param refusedCalls the number of recent calls for which there was no capacity, 0 or more
     * @return whether there is a shortage now
     */
    public boolean update(double calls, double refusedCalls) {
        double fraction = refusedCalls / Math.max(1, Math.max(calls, refusedCalls));
        shortage =
                shortage ? fraction >= END_FRACTION : fraction >= BEGIN_FRACTION && refusedCalls >= MIN_REFUSED_CALLS;
        return shortage;
    }
}
