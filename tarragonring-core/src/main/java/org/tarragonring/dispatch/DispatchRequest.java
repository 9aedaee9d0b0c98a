package org.tarragonring.dispatch;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.UpstreamId;

/**
 * Describes a call that needs a replica.
 *
 * @param priority the priority, from 0 (highest) to 9 (lowest)
 * @param deadlineMillis the time by which the response must start, in milliseconds of the monotonic clock
 * @param prefixHash the hash of the request's prefix, which replicas may have cached; 0 if there is none
 * @param avoidedUpstreams the upstreams on which the call failed before, which get it only if no other is available;
 *     not null
 * @param excludedReplicas the names of the replicas that closed the connection while they ran the call, not null
 * @param excludedUntilMillis the time until which the excluded replicas must not get the call again, in milliseconds of
 *     the monotonic clock; a replica that still exists at that time did not crash because of the call
 * @since 0.1.0
 */
public record DispatchRequest(
        int priority,
        long deadlineMillis,
        long prefixHash,
        Set<UpstreamId> avoidedUpstreams,
        Set<String> excludedReplicas,
        long excludedUntilMillis) {

    /** Makes immutable copies of the sets. */
    public DispatchRequest {
        avoidedUpstreams = Set.copyOf(Objects.requireNonNull(avoidedUpstreams, "avoidedUpstreams"));
        excludedReplicas = Set.copyOf(Objects.requireNonNull(excludedReplicas, "excludedReplicas"));
    }
}
