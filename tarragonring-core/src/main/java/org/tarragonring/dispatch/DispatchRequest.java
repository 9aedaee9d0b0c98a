package org.tarragonring.dispatch;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.UpstreamId;

/**
 * What a call asks of a model's dispatcher.
 *
 * @param priority 0 goes first, 9 last
 * @param deadlineMillis when the first answer is due, on the monotonic clock
 * @param prefixHash the hash of the request's prefix
 * @param avoided upstreams that refused the call, to which it goes only if there is no other; not null
 * @param excluded replicas that broke off while they ran the call, by name; not null
 * @param excludedUntilMillis until when the call must not go to those again, on the monotonic clock; a replica that
 *     is still there by then did not die of the call
 * @since 0.1.0
 */
public record DispatchRequest(
        int priority,
        long deadlineMillis,
        long prefixHash,
        Set<UpstreamId> avoided,
        Set<String> excluded,
        long excludedUntilMillis) {

    /** Copies the sets. */
    public DispatchRequest {
        avoided = Set.copyOf(Objects.requireNonNull(avoided, "avoided"));
        excluded = Set.copyOf(Objects.requireNonNull(excluded, "excluded"));
    }
}
