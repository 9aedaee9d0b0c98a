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
 * @param id the id of the entry, not null
 * @param failureDomain the failure domain of the entry, not null
 * @param callerAddress the address on which the entry listens for callers, not null
 * @param peerAddress the address on which the entry listens for other entries, not null
 * @param adminAddress the address on which the entry listens for operators, not null
 * @param peerKey the key with which datagrams between entries are authenticated, the same on all entries, not null
 * @param platformAddress the address of the platform, not null
 * @param platformTimeout the timeout of requests to the platform, not null
 * @param eventLoops the number of event loops that serve callers
 * @param callerLimits the limits of callers' connections and requests, not null
 * @param maxCallsInFlight the number of calls in flight at which the entry is at capacity
 * @param maxQueuedCallsPerModel the maximum number of calls that wait for one model
 * @param maxParallelLoads the maximum number of parallel model loads that the weight store serves at full speed, for
 *     all entries together
 * @param maxParallelAdapterLoads the maximum number of parallel adapter loads that the weight store serves at full
 *     speed, for all entries together
 * @param adapterBlockSize the number of parallel adapter loads for which this entry acquires a permit at once
 * @param initialIdleTimeout the idle timeout of a model with too few recorded idle periods, not null
 * @param idleSecondsPerLateSecond the number of seconds of idle memory that cost as much as one second for which a call
 *     waits for a reload
 * @param minResidence the time for which a model must have been idle before it may be evicted, not null
 * @param claimLifetime the time for which claims are kept, not null
 * @param leaseTiming the timing of leases, not null
 * @param membershipTiming the timing of failure detection, not null
 * @param shutdownLimit the maximum time for which a shutdown waits for calls in flight, not null
 * @since 0.1.0
 */
public record EntrySettings(
        EntryId id,
        String failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort adminAddress,
        String peerKey,
        HostPort platformAddress,
        Duration platformTimeout,
        int eventLoops,
        CallerLimits callerLimits,
        int maxCallsInFlight,
        int maxQueuedCallsPerModel,
        int maxParallelLoads,
        int maxParallelAdapterLoads,
        int adapterBlockSize,
        Duration initialIdleTimeout,
        int idleSecondsPerLateSecond,
        Duration minResidence,
        Duration claimLifetime,
        LeaseTiming leaseTiming,
        MembershipTiming membershipTiming,
        Duration shutdownLimit) {

    /** Rejects null ids, failure domains and addresses. */
    public EntrySettings {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(adminAddress, "adminAddress");
        Objects.requireNonNull(platformAddress, "platformAddress");
    }
}
