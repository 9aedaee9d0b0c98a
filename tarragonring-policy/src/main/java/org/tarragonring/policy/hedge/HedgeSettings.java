package org.tarragonring.policy.hedge;

/**
 * The settings for second attempts of slow calls.
 *
 * @param callShare the largest share of the calls that may be repeated which get a second attempt, from 0, which
 *     switches second attempts off, to 1
 * @since 0.2.0
 */
public record HedgeSettings(double callShare) {

    /** No call gets a second attempt while the first one runs. */
    public static final HedgeSettings OFF = new HedgeSettings(0);

    /** Checks the arguments. */
    public HedgeSettings {
        if (!(callShare >= 0 && callShare <= 1)) {
            throw new IllegalArgumentException("callShare must be from 0 to 1, but is " + callShare);
        }
    }

    /**
     * Checks whether second attempts are on.
     *
     * @return true if any call may get one
     */
    public boolean isOn() {
        return callShare > 0;
    }
}
