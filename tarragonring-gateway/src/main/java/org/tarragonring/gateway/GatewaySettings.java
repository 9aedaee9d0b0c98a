package org.tarragonring.gateway;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.policy.budget.RetryBudgetSettings;
import org.tarragonring.policy.hedge.HedgeSettings;
import org.tarragonring.policy.quota.QuotaSettings;
import org.tarragonring.policy.team.KeySettings;

/**
 * The settings of a gateway.
 *
 * @param id the id of the entry, not null
 * @param failureDomain the failure domain of the entry, not null
 * @param callerAddress the address to listen on for callers, not null
 * @param maxIdBytes the maximum length of the ids that callers give to their calls, 1 to {@value #LARGEST_MAX_ID_BYTES}
 * @param peerAddress the address to listen on for other entries, not null
 * @param peerKey the secret that all entries share to authenticate their messages, not null
 * @param contactTime the time after a fault of its connections within which an entry must have caught up with the store,
 *     not null
 * @param drainTime the time within which a replica that drains must stop receiving calls, not null
 * @param handoverDelay the minimum time between orders of two successive lease holders to one replica, not null
 * @param fencesChecked whether replicas reject orders with an outdated fencing token
 * @param shutdownLimit the maximum duration of a shutdown, not null
 * @param retryBudget the retry budget that all entries share, not null
 * @param keys the settings for the keys of teams, not null
 * @param quotas the bounds within which the limits of teams are held, not null
 * @param hedging the limit for second attempts of slow calls, not null
 * @since 0.2.0
 */
public record GatewaySettings(
        EntryId id,
        String failureDomain,
        HostPort callerAddress,
        int maxIdBytes,
        HostPort peerAddress,
        String peerKey,
        Duration contactTime,
        Duration drainTime,
        Duration handoverDelay,
        boolean fencesChecked,
        Duration shutdownLimit,
        RetryBudgetSettings retryBudget,
        KeySettings keys,
        QuotaSettings quotas,
        HedgeSettings hedging) {

    /** The largest maximum of the length of ids; two of them fit into a message between entries. */
    public static final int LARGEST_MAX_ID_BYTES = 2_000;

    /** Validates the components. */
    public GatewaySettings {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        if (maxIdBytes < 1 || maxIdBytes > LARGEST_MAX_ID_BYTES) {
            throw new IllegalArgumentException(
                    "maxIdBytes must be from 1 to %d, but is %d".formatted(LARGEST_MAX_ID_BYTES, maxIdBytes));
        }
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(peerKey, "peerKey");
        Objects.requireNonNull(contactTime, "contactTime");
        Objects.requireNonNull(drainTime, "drainTime");
        Objects.requireNonNull(handoverDelay, "handoverDelay");
        Objects.requireNonNull(shutdownLimit, "shutdownLimit");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(keys, "keys");
        Objects.requireNonNull(quotas, "quotas");
        Objects.requireNonNull(hedging, "hedging");
    }

    /**
     * Creates settings for a deployment without bounds for the keys and quotas of teams.
     *
     * @param id the id of the entry, not null
     * @param failureDomain the failure domain of the entry, not null
     * @param callerAddress the address to listen on for callers, not null
     * @param maxIdBytes the maximum length of the ids that callers give to their calls
     * @param peerAddress the address to listen on for other entries, not null
     * @param peerKey the secret that all entries share to authenticate their messages, not null
     * @param contactTime the time within which an entry must have caught up with the store, not null
     * @param drainTime the time within which a replica that drains must stop receiving calls, not null
     * @param handoverDelay the minimum time between orders of two successive lease holders, not null
     * @param fencesChecked whether replicas reject orders with an outdated fencing token
     * @param shutdownLimit the maximum duration of a shutdown, not null
     * @param retryBudget the retry budget that all entries share, not null
     */
    public GatewaySettings(
            EntryId id,
            String failureDomain,
            HostPort callerAddress,
            int maxIdBytes,
            HostPort peerAddress,
            String peerKey,
            Duration contactTime,
            Duration drainTime,
            Duration handoverDelay,
            boolean fencesChecked,
            Duration shutdownLimit,
            RetryBudgetSettings retryBudget) {
        this(
                id,
                failureDomain,
                callerAddress,
                maxIdBytes,
                peerAddress,
                peerKey,
                contactTime,
                drainTime,
                handoverDelay,
                fencesChecked,
                shutdownLimit,
                retryBudget,
                KeySettings.OFF,
                QuotaSettings.OFF,
                HedgeSettings.OFF);
    }
}
