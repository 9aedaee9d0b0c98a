package org.tarragonring.entry;

import java.time.Duration;
import java.util.Objects;

import org.tarragonring.caller.CallerLimits;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.lease.LeaseTiming;
import org.tarragonring.membership.MembershipTiming;

/**
 * The settings of an entry.
 *
 * @param id the entry's id, not null
 * @param failureDomain its failure domain, not null
 * @param callerAddress where it listens for callers, not null
 * @param peerAddress where it listens for other entries, not null
 * @param adminAddress where it listens for operators, not null
 * @param peerKey the key that all entries share, not null
 * @param platform where the platform listens, not null
 * @param platformTimeout how long to wait for the platform, not null
 * @param eventLoops the threads that serve callers
 * @param callerLimits bounds of callers' requests, not null
 * @param callsInFlight the calls that the entry takes at once
 * @param queuedCallsPerModel the most calls that wait for one model
 * @param parallelLoads the loads that the weight store allows at full speed
 * @param adaptersInFlight the adapter loads that the weight store allows at full speed
 * @param adapterBlock the adapter loads that this entry takes at once
 * @param idleKeep how long a model without history stays loaded, not null
 * @param idleSecondsPerLateSecond how many seconds of idle memory are as bad as one second that a call waits
 * @param minResidence how long a model must have been idle before it may be evicted, not null
 * @param claimLifetime how long claims are remembered, not null
 * @param lease the times of leases, not null
 * @param membership the times of failure detection, not null
 * @param shutdownLimit how long a shutdown waits for calls in flight, not null
 * @since 0.1.0
 */
public record EntrySettings(
        EntryId id,
        String failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort adminAddress,
        String peerKey,
        HostPort platform,
        Duration platformTimeout,
        int eventLoops,
        CallerLimits callerLimits,
        int callsInFlight,
        int queuedCallsPerModel,
        int parallelLoads,
        int adaptersInFlight,
        int adapterBlock,
        Duration idleKeep,
        int idleSecondsPerLateSecond,
        Duration minResidence,
        Duration claimLifetime,
        LeaseTiming lease,
        MembershipTiming membership,
        Duration shutdownLimit) {

    /** Checks the arguments. */
    public EntrySettings {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(adminAddress, "adminAddress");
        Objects.requireNonNull(platform, "platform");
    }
}
