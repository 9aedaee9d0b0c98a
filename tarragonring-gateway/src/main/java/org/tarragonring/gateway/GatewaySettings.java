package org.tarragonring.gateway;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.policy.budget.RetryBudgetSettings;

/**
 * The settings of a gateway.
 *
 * @param id the entry, not null
 * @param failureDomain the failure domain it is in, not null
 * @param callerAddress where it listens for callers, not null
 * @param peerAddress where it listens for other entries, not null
 * @param peerKey the key that all entries share, not null
 * @param orderTurn the least time between orders of two holders to one replica, not null
 * @param fencesChecked whether replicas refuse orders with an old fencing number
 * @param shutdownLimit how long a shutdown may take, not null
 * @param repeats the budget of repeats that all entries share, not null
 * @since 0.2.0
 */
public record GatewaySettings(
        EntryId id,
        String failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        String peerKey,
        Duration orderTurn,
        boolean fencesChecked,
        Duration shutdownLimit,
        RetryBudgetSettings repeats) {

    /** Checks the arguments. */
    public GatewaySettings {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(peerKey, "peerKey");
        Objects.requireNonNull(orderTurn, "orderTurn");
        Objects.requireNonNull(shutdownLimit, "shutdownLimit");
        Objects.requireNonNull(repeats, "repeats");
    }
}
