package org.tarragonring.policy.team;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings for the keys of teams.
 *
 * @param revocationTime the time after the removal of a key from the configuration from which no call with it may run,
 *     zero if it is not limited; not null
 * @param failClosed whether the time also binds entries that cannot reach the store, which then refuse calls with keys
 * @since 0.2.0
 */
public record KeySettings(Duration revocationTime, boolean failClosed) {

    /** Entries serve calls with keys by the last configuration that they have seen, however old it is. */
    public static final KeySettings OFF = new KeySettings(Duration.ZERO, false);

    /** Checks the arguments. */
    public KeySettings {
        Objects.requireNonNull(revocationTime, "revocationTime");
        if (failClosed && revocationTime.compareTo(Duration.ZERO) <= 0) {
            throw new IllegalArgumentException("revocationTime must be positive if failClosed is set");
        }
    }
}
